#pragma once

#include "relay/control/announcement.h"
#include "relay/http/httpsession.h"
#include "relay/inbound/localgate.h"
#include "relay/telemetry/boundedlog.h"
#include "traffic/instance/instanceregister.h"

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace chervilmount::relay {

/**
 * Tracks the state of the local backend server by its announcements. A departure takes effect at
 * once; it is acknowledged when it is kept where the next process of this node finds it.
 */
class BackendTracker
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    BackendTracker(AnnouncementParser parser, LocalGate &gate, BoundedLog &log);

    /** Handles a request to the announcement listener. */
    void handle(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request);

    /** Restores the departures that were recorded before a restart. */
    void restore(const std::vector<traffic::DepartedInstance> &departed);

    /**
     * Sends the backend server a status check unless one has been confirmed since the start of this
     * process, or the one that has announced itself is leaving.
     */
    void discover(const std::string &healthPath, TimePoint now);

    /** Acknowledges departures that are kept by now, and rejects those that have waited too long.
     */
    void acknowledgeDepartures(TimePoint now);

    const traffic::InstanceRegister &instances() const { return m_instances; }

    /** @returns whether a service of this name exists; announcements of others are rejected. */
    std::function<bool(const std::string &)> m_isKnownService;
    /** Called when the backend server has become usable or unusable. */
    std::function<void()> m_onChanged;
    /** Called when the recorded departures have to be stored. */
    std::function<void()> m_onDeparted;
    /** Called when a backend server has to be confirmed by a status check. */
    std::function<void()> m_onUnconfirmed;
    /** @returns whether the departures outlive this process.
     * @param since when the last one was received. */
    std::function<bool(TimePoint since, TimePoint now)> m_areDeparturesKept;

private:
    /** A departure that has not been acknowledged yet. */
    struct PendingDeparture
    {
        std::shared_ptr<ServerExchange> m_exchange;
        std::string m_id;
        TimePoint m_receivedAt;
    };

    void handleAnnouncement(const traffic::InstanceAnnouncement &announcement);
    void handleDeparture(const DepartureNotice &notice);
    /** Processes an answer of the backend server that states that it is leaving. */
    void handleLeavingAnswer();
    void applyEffect(traffic::AnnouncementEffect effect, const std::string &id);
    void logAcknowledgement(const PendingDeparture &departure, bool isKept, TimePoint now);

    AnnouncementParser m_parser;
    LocalGate &m_gate;
    BoundedLog &m_log;
    traffic::InstanceRegister m_instances;
    std::list<PendingDeparture> m_pendingDepartures;
    bool m_discovering = false;
    TimePoint m_nextDiscovery;
};

} // namespace chervilmount::relay
