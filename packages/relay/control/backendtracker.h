#pragma once

#include "relay/control/announcement.h"
#include "relay/http/httpsession.h"
#include "relay/inbound/localgate.h"
#include "relay/telemetry/boundedlog.h"
#include "traffic/instance/instanceregister.h"

#include <functional>
#include <memory>

namespace chervilmount::relay {

/** Tracks the state of the local backend server by its announcements. */
class BackendTracker
{
public:
    BackendTracker(AnnouncementParser parser, LocalGate &gate, BoundedLog &log);

    /** Handles a request to the announcement listener. */
    void handle(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request);

    /** Restores the departures that were recorded before a restart. */
    void restore(const std::vector<traffic::DepartedInstance> &departed);

    /** Requests the identity of the backend server unless it has announced itself already. */
    void discover(const std::string &healthPath);

    const traffic::InstanceRegister &instances() const { return m_instances; }

    /** @returns whether a service of this name exists; announcements of others are rejected. */
    std::function<bool(const std::string &)> m_isKnownService;
    /** Called when the backend server has become usable or unusable. */
    std::function<void()> m_onChanged;
    /** Called when the recorded departures have to be stored. */
    std::function<void()> m_onDeparted;

private:
    void handleAnnouncement(const traffic::InstanceAnnouncement &announcement);
    void handleDeparture(const DepartureNotice &notice);
    void applyEffect(traffic::AnnouncementEffect effect, const std::string &id);

    AnnouncementParser m_parser;
    LocalGate &m_gate;
    BoundedLog &m_log;
    traffic::InstanceRegister m_instances;
    bool m_discovering = false;
};

} // namespace chervilmount::relay
