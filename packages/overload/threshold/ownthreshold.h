#pragma once

#include "overload/rank/rank.h"

#include <array>
#include <chrono>

namespace chervilmount::overload {

/** Ranks that share one counter of the demand histogram. */
constexpr int RanksPerBucket = 4;
constexpr int RankBuckets = RankCount / RanksPerBucket;

/** Period after which the threshold is set anew. */
constexpr std::chrono::milliseconds ThresholdWindow{100};

/**
 * Admission threshold of the node beside a backend server. It is set so that the demand up to the
 * threshold, measured per rank, fits what the backend server can do.
 */
struct OwnThreshold
{
    Rank m_rank = HighestRank;
    /** Calls that arrived in the window, by bucket of ranks. */
    std::array<std::uint16_t, RankBuckets> m_arrivals{};
    /** Expected arrivals a second, by bucket of ranks. */
    std::array<float, RankBuckets> m_demand{};
    /** Part of the capacity to fill; follows the refusals by the queue. */
    double m_fill = 1.0;
    /** Buckets by which the threshold may rise in the next window. */
    int m_rise = 1;
    std::uint32_t m_arrived = 0;
    std::uint32_t m_refused = 0;
    /** Calls that started after waiting longer than the sojourn target. */
    std::uint32_t m_delayed = 0;
    std::chrono::steady_clock::time_point m_windowStart;
};

/** Counts the arrival of a call. */
void recordArrival(OwnThreshold &threshold, Rank rank);

/** Counts a call that was refused for overload by the queue, not by the threshold itself. */
void recordOverloadRefusal(OwnThreshold &threshold);

/** Counts a call that started after waiting longer than the sojourn target. */
void recordDelay(OwnThreshold &threshold);

/**
 * Sets the threshold anew when ThresholdWindow has passed.
 * @param capacity calls a second that the backend server can do: limit over average slot time;
 *        0 while unknown, which leaves the threshold as it is.
 */
void updateThreshold(OwnThreshold &threshold, double capacity,
                     std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
