#include "relay/control/backendtracker.h"

#include <utility>

namespace chervilmount::relay {

namespace {

/** A backend server ignores an acknowledgement that arrives later than a second after its message.
 */
constexpr std::chrono::milliseconds LongestAcknowledgement{800};
/** Starts that lie further ahead are malformed. The time of day of a machine may be stepped by
 * less. */
constexpr std::chrono::hours LongestClockError{24};
/** Time between two status checks of a backend server that is not confirmed. */
constexpr std::chrono::milliseconds DiscoveryInterval{300};

const char *nameOf(traffic::AnnouncementEffect effect)
{
    switch (effect) {
    case traffic::AnnouncementEffect::Ignored:
        return "ignored";
    case traffic::AnnouncementEffect::Renewed:
        return "renewed";
    case traffic::AnnouncementEffect::Unconfirmed:
        return "unconfirmed";
    case traffic::AnnouncementEffect::Changed:
        return "usable";
    case traffic::AnnouncementEffect::Leaving:
        break;
    }
    return "leaving";
}

/** @returns the time of day, in which backend servers state their starts. */
std::chrono::milliseconds timeOfDay()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

bool isInFuture(std::chrono::milliseconds startedAt)
{
    return startedAt > timeOfDay() + LongestClockError;
}

void acknowledge(ServerExchange &exchange)
{
    HttpResponse response = makeResponse(200, "{}");
    response.set(boost::beast::http::field::content_type, "application/json");
    exchange.respond(std::move(response), false);
}

} // namespace

BackendTracker::BackendTracker(AnnouncementParser parser, LocalGate &gate, BoundedLog &log)
    : m_parser(std::move(parser))
    , m_gate(gate)
    , m_log(log)
{
    m_gate.m_onInstanceGone = [this] {
        // It announces itself again if it still runs, and so does a successor; until then there is
        // no backend server to send work to.
        m_instances.m_usable = false;
        m_gate.stopNewRuns();
        m_log.writeIfAllowed(
                LogTopic::State, adapters::LogLevel::Warn,
                {{"event", "backend-server"},
                 {"instance", m_instances.m_current ? m_instances.m_current->m_id : ""},
                 {"effect", "gone"}},
                std::chrono::steady_clock::now());
        if (m_onChanged)
            m_onChanged();
    };
    m_gate.m_onInstanceLeaving = [this] { handleLeavingAnswer(); };
}

void BackendTracker::handleLeavingAnswer()
{
    if (!m_instances.m_current || !m_instances.m_usable)
        return;
    handleDeparture({m_instances.m_current->m_id, m_instances.m_current->m_startedAt});
    if (m_onDeparted)
        m_onDeparted();
}

void BackendTracker::handle(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request)
{
    AnnouncementMessage message = m_parser(request);
    const auto *named = std::get_if<traffic::InstanceAnnouncement>(&message);
    if (named != nullptr && !m_isKnownService(named->m_service))
        message = MalformedAnnouncement{400, "unknown service"};
    else if (named != nullptr && isInFuture(named->m_startedAt))
        message = MalformedAnnouncement{400, "the start is more than a day ahead"};
    if (const MalformedAnnouncement *malformed = std::get_if<MalformedAnnouncement>(&message)) {
        m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Warn,
                             {{"event", "announcement-rejected"},
                              {"target", std::string(request.target())},
                              {"reason", malformed->m_reason}},
                             std::chrono::steady_clock::now());
        exchange->respond(makeResponse(malformed->m_status, malformed->m_reason + "\n"), false);
        return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    if (const auto *announcement = std::get_if<traffic::InstanceAnnouncement>(&message)) {
        handleAnnouncement(*announcement);
        if (announcement->m_state == traffic::InstanceState::Ready) {
            acknowledge(*exchange);
            return;
        }
        m_pendingDepartures.push_back({exchange, announcement->m_id, now});
    } else {
        const auto &notice = std::get<DepartureNotice>(message);
        handleDeparture(notice);
        m_pendingDepartures.push_back({exchange, notice.m_id, now});
    }
    // Also if the backend server was not in use, e.g. because this process has just started.
    if (m_onDeparted)
        m_onDeparted();
    acknowledgeDepartures(now);
}

void BackendTracker::acknowledgeDepartures(TimePoint now)
{
    m_pendingDepartures.remove_if([this, now](const PendingDeparture &departure) {
        const bool isKept = m_areDeparturesKept(departure.m_receivedAt, now);
        if (!isKept && now - departure.m_receivedAt < LongestAcknowledgement)
            return false;
        logAcknowledgement(departure, isKept, now);
        // The backend server gets no new work in either case.
        if (isKept)
            acknowledge(*departure.m_exchange);
        else
            departure.m_exchange->respond(
                    makeResponse(503, "the departure could not be stored yet\n"), false);
        return true;
    });
}

void BackendTracker::restore(const std::vector<traffic::DepartedInstance> &departed)
{
    const bool wasUsable = m_instances.m_usable;
    traffic::restoreDepartures(m_instances, departed);
    if (wasUsable && !m_instances.m_usable)
        applyEffect(traffic::AnnouncementEffect::Leaving, m_instances.m_current->m_id);
}

void BackendTracker::discover(const std::string &healthPath, TimePoint now)
{
    if (m_instances.m_isConfirmed || m_discovering || now < m_nextDiscovery
        || traffic::isLeaving(m_instances))
        return;
    m_discovering = true;
    m_nextDiscovery = now + DiscoveryInterval;
    m_gate.checkStatus(healthPath, [this](std::optional<traffic::InstanceAnnouncement> instance) {
        m_discovering = false;
        if (instance)
            applyEffect(traffic::confirm(m_instances, *instance), instance->m_id);
    });
}

void BackendTracker::handleAnnouncement(const traffic::InstanceAnnouncement &announcement)
{
    applyEffect(traffic::announce(m_instances, announcement), announcement.m_id);
}

void BackendTracker::handleDeparture(const DepartureNotice &notice)
{
    const std::chrono::milliseconds startedAt =
            isInFuture(notice.m_startedAt) ? std::chrono::milliseconds{0} : notice.m_startedAt;
    applyEffect(traffic::depart(m_instances, notice.m_id, startedAt, timeOfDay()), notice.m_id);
}

void BackendTracker::applyEffect(traffic::AnnouncementEffect effect, const std::string &id)
{
    if (effect == traffic::AnnouncementEffect::Ignored
        || effect == traffic::AnnouncementEffect::Renewed)
        return;
    m_log.writeIfAllowed(
            LogTopic::State, adapters::LogLevel::Info,
            {{"event", "backend-server"},
             {"instance", id},
             {"effect", nameOf(effect)},
             {"sequence", std::to_string(m_instances.m_current->m_sequence)},
             {"started_at_ms", std::to_string(m_instances.m_current->m_startedAt.count())},
             {"slots", std::to_string(m_instances.m_current->m_slots)}},
            std::chrono::steady_clock::now());
    if (effect == traffic::AnnouncementEffect::Unconfirmed) {
        if (m_onUnconfirmed)
            m_onUnconfirmed();
        return;
    }
    if (effect == traffic::AnnouncementEffect::Changed)
        m_gate.useInstance(*m_instances.m_current);
    else
        m_gate.stopNewRuns();
    if (m_onChanged)
        m_onChanged();
}

void BackendTracker::logAcknowledgement(const PendingDeparture &departure, bool isKept,
                                        TimePoint now)
{
    const std::chrono::duration<double, std::milli> took = now - departure.m_receivedAt;
    m_log.writeIfAllowed(LogTopic::State,
                         isKept ? adapters::LogLevel::Info : adapters::LogLevel::Warn,
                         {{"event", isKept ? "departure-acknowledged" : "departure-not-kept"},
                          {"instance", departure.m_id},
                          {"took_ms", std::to_string(took.count())}},
                         now);
}

} // namespace chervilmount::relay
