#pragma once

#include <chrono>

namespace chervilmount::traffic {

/** Settings for connecting to another node. */
struct DialSettings
{
    /** Time after which an attempt to connect has failed. */
    std::chrono::milliseconds m_timeout{1000};
    /** Bounds of the delay after a failed attempt; it doubles with each one. @{ */
    std::chrono::milliseconds m_minimumDelay{100};
    std::chrono::milliseconds m_maximumDelay{1000};
    /** @} */
    /** A node without a link for this long is taken as gone and dialled rarely. */
    std::chrono::seconds m_goneAfter{30};
    std::chrono::milliseconds m_delayWhenGone{4000};
};

/** When to connect to another node. */
struct DialSchedule
{
    /** Start of the present time without a link. */
    std::chrono::steady_clock::time_point m_unlinkedSince;
    std::chrono::steady_clock::time_point m_nextAt;
    /** Delay after the last failed attempt. */
    std::chrono::milliseconds m_delay{0};
};

/** The node has become known or has been started again: it is dialled at once, and earlier failures
 * no longer count. */
void restartDialling(DialSchedule &schedule, std::chrono::steady_clock::time_point now);

/** Schedules the next attempt after a failed one. */
void dialFailed(DialSchedule &schedule, const DialSettings &settings,
                std::chrono::steady_clock::time_point now);

/** The node has answered on a new link. */
void linkEstablished(DialSchedule &schedule);

/** Schedules the first attempt after a link was lost. */
void linkLost(DialSchedule &schedule, const DialSettings &settings,
              std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
