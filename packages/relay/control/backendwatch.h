#pragma once

#include "relay/control/announcement.h"
#include "relay/http/httpsession.h"
#include "relay/inbound/localgate.h"
#include "relay/telemetry/boundedlog.h"
#include "traffic/instance/instanceregister.h"

#include <functional>
#include <memory>

namespace chervilmount::relay {

/** Keeps track of the backend server beside the node by what it says of itself. */
class BackendWatch
{
public:
    BackendWatch(AnnouncementParser parser, LocalGate &gate, BoundedLog &log);

    /** Answers a request to the announcement listener. */
    void handle(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request);

    /** Takes over departures that were recorded before a restart. */
    void restore(const std::vector<traffic::DepartedInstance> &departed);

    /** Asks the backend server for its identity, unless it has announced itself already. */
    void discover(const std::string &healthPath);

    const traffic::InstanceRegister &instances() const { return m_instances; }

    /** @returns whether a service of this name exists; others are not taken into use. */
    std::function<bool(const std::string &)> m_isKnownService;
    /** Called when the backend server has become usable or unusable. */
    std::function<void()> m_onChanged;
    /** Called when a departure has to be recorded. */
    std::function<void()> m_onDeparted;

private:
    void announced(const traffic::InstanceAnnouncement &announcement);
    void departed(const DepartureNotice &notice);
    void apply(traffic::AnnouncementEffect effect, const std::string &id);

    AnnouncementParser m_parser;
    LocalGate &m_gate;
    BoundedLog &m_log;
    traffic::InstanceRegister m_instances;
    bool m_discovering = false;
};

} // namespace chervilmount::relay
