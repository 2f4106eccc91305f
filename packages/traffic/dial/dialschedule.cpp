#include "traffic/dial/dialschedule.h"

#include <algorithm>

namespace chervilmount::traffic {

void restartDialling(DialSchedule &schedule, std::chrono::steady_clock::time_point now)
{
    schedule = {now, now, std::chrono::milliseconds{0}};
}

void dialFailed(DialSchedule &schedule, const DialSettings &settings,
                std::chrono::steady_clock::time_point now)
{
    const bool isGone = now - schedule.m_unlinkedSince > settings.m_goneAfter;
    schedule.m_delay = isGone
            ? settings.m_delayWhenGone
            : std::clamp(schedule.m_delay * 2, settings.m_minimumDelay, settings.m_maximumDelay);
    schedule.m_nextAt = now + schedule.m_delay;
}

void linkEstablished(DialSchedule &schedule)
{
    schedule.m_delay = std::chrono::milliseconds{0};
}

void linkLost(DialSchedule &schedule, const DialSettings &settings,
              std::chrono::steady_clock::time_point now)
{
    schedule.m_unlinkedSince = now;
    schedule.m_nextAt = now + settings.m_minimumDelay;
}

} // namespace chervilmount::traffic
