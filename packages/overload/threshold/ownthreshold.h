#pragma once

#include "overload/rank/rank.h"

#include <array>
#include <chrono>

namespace chervilmount::overload {

/** Ranks that share one counter of the demand histogram. */
constexpr int RanksPerBucket = 4;
constexpr int RankBuckets = RankCount / RanksPerBucket;

/** Update interval of the threshold. */
constexpr std::chrono::milliseconds ThresholdWindow{100};

/**
 * Admission threshold for one backend server. It is set so that the demand up to the threshold,
 * measured per bucket of ranks, matches the capacity of the backend server.
 */
struct OwnThreshold
{
    Rank m_rank = HighestRank;
    /** Arrivals in the window, by bucket of ranks. */
    std::array<std::uint16_t, RankBuckets> m_arrivals{};
    /** Expected arrivals per second, by bucket of ranks. */
    std::array<float, RankBuckets> m_demand{};
    /** Fraction of the capacity to fill, controlled by the refusals and delays of the queue. */
    double m_fill = 1.0;
    /** Maximum rise of the threshold in the next window, in buckets. */
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
 * Updates the threshold when ThresholdWindow has passed.
 * @param capacity calls per second of the backend server, i.e. limit divided by average slot time;
 *        0 while unknown, which leaves the threshold unchanged.
 */
void updateThreshold(OwnThreshold &threshold, double capacity,
                     std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
