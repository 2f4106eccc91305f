#include "traffic/instance/instanceregister.h"

namespace chervilmount::traffic {

namespace {

/** Maximum number of departures kept; only the latest few backend servers can still send messages.
 */
constexpr std::size_t MaximumDepartures = 16;
/** The end of the year 9999. */
constexpr std::chrono::milliseconds LatestStart{253402300799999};

bool hasDeparted(const InstanceRegister &instances, const InstanceAnnouncement &announcement)
{
    const auto found = instances.m_departed.find(announcement.m_id);
    return found != instances.m_departed.end() && announcement.m_startedAt <= found->second;
}

/** @returns whether the announcement was sent before the current one. */
bool isOutdated(const InstanceAnnouncement &current, const InstanceAnnouncement &announcement)
{
    if (announcement.m_startedAt != current.m_startedAt)
        return announcement.m_startedAt < current.m_startedAt;
    return announcement.m_id == current.m_id && announcement.m_sequence <= current.m_sequence;
}

void recordDeparture(Departures &departures, const std::string &id,
                     std::chrono::milliseconds startedAt)
{
    std::chrono::milliseconds &departed = departures[id];
    departed = std::max(departed, startedAt);
    while (departures.size() > MaximumDepartures) {
        auto oldest = departures.begin();
        for (auto entry = departures.begin(); entry != departures.end(); ++entry) {
            if (entry->second < oldest->second)
                oldest = entry;
        }
        departures.erase(oldest);
    }
}

AnnouncementEffect markDeparted(InstanceRegister &instances, const std::string &id,
                                std::chrono::milliseconds startedAt)
{
    recordDeparture(instances.m_departed, id, startedAt);
    if (!instances.m_current || instances.m_current->m_id != id
        || instances.m_current->m_startedAt > startedAt)
        return AnnouncementEffect::Ignored;
    const bool wasUsable = instances.m_usable;
    instances.m_usable = false;
    return wasUsable ? AnnouncementEffect::Leaving : AnnouncementEffect::Renewed;
}

} // namespace

AnnouncementEffect announce(InstanceRegister &instances, const InstanceAnnouncement &announcement)
{
    if (hasDeparted(instances, announcement))
        return AnnouncementEffect::Ignored;
    if (instances.m_current && isOutdated(*instances.m_current, announcement)) {
        // A departure that arrives out of order still applies to the start that it names.
        if (announcement.m_state == InstanceState::Draining)
            return markDeparted(instances, announcement.m_id, announcement.m_startedAt);
        return AnnouncementEffect::Ignored;
    }
    if (announcement.m_state == InstanceState::Draining) {
        instances.m_current = announcement;
        const bool wasUsable = instances.m_usable;
        recordDeparture(instances.m_departed, announcement.m_id, announcement.m_startedAt);
        instances.m_usable = false;
        return wasUsable ? AnnouncementEffect::Leaving : AnnouncementEffect::Renewed;
    }
    const bool sameProcess = instances.m_current && instances.m_current->m_id == announcement.m_id
            && instances.m_current->m_startedAt == announcement.m_startedAt;
    const bool same = instances.m_usable && sameProcess
            && instances.m_current->m_address == announcement.m_address
            && instances.m_current->m_service == announcement.m_service
            && instances.m_current->m_slots == announcement.m_slots;
    instances.m_current = announcement;
    if (!instances.m_isConfirmed) {
        int &announcements = instances.m_unconfirmedAnnouncements;
        announcements = sameProcess ? announcements + 1 : 1;
        if (announcements < AnnouncementsUntilConfirmed)
            return AnnouncementEffect::Unconfirmed;
        instances.m_isConfirmed = true;
    }
    instances.m_usable = true;
    return same ? AnnouncementEffect::Renewed : AnnouncementEffect::Changed;
}

AnnouncementEffect confirm(InstanceRegister &instances, const InstanceAnnouncement &found)
{
    // A status check does not state the start, an announcement does.
    const InstanceAnnouncement &current = instances.m_current ? *instances.m_current : found;
    if (instances.m_isConfirmed || current.m_id != found.m_id || hasDeparted(instances, current))
        return AnnouncementEffect::Ignored;
    if (!instances.m_current)
        instances.m_current = found;
    instances.m_isConfirmed = true;
    instances.m_usable = true;
    return AnnouncementEffect::Changed;
}

AnnouncementEffect depart(InstanceRegister &instances, const std::string &id,
                          std::chrono::milliseconds startedAt, std::chrono::milliseconds now)
{
    if (startedAt.count() != 0)
        return markDeparted(instances, id, startedAt);
    const bool isKnown = instances.m_current && instances.m_current->m_id == id
            && instances.m_current->m_startedAt.count() != 0;
    // A node that has just started may not know the start time of the backend server, and earlier
    // messages of it can still arrive: the departure applies to every start up to now.
    return markDeparted(instances, id, isKnown ? instances.m_current->m_startedAt : now);
}

bool isLeaving(const InstanceRegister &instances)
{
    return instances.m_current && hasDeparted(instances, *instances.m_current);
}

void restoreDepartures(InstanceRegister &instances, const std::vector<DepartedInstance> &departed)
{
    mergeDepartures(instances.m_departed, departed);
    if (isLeaving(instances))
        instances.m_usable = false;
}

bool isPlausibleStart(std::chrono::milliseconds startedAt)
{
    return startedAt.count() >= 0 && startedAt <= LatestStart;
}

void mergeDepartures(Departures &departures, const std::vector<DepartedInstance> &added)
{
    for (const DepartedInstance &instance : added)
        recordDeparture(departures, instance.m_id, instance.m_startedAt);
}

std::vector<DepartedInstance> toList(const Departures &departures)
{
    std::vector<DepartedInstance> result;
    for (const auto &[id, startedAt] : departures)
        result.push_back({id, startedAt});
    return result;
}

} // namespace chervilmount::traffic
