#pragma once

#include "overload/rank/rank.h"

#include <array>
#include <chrono>

namespace chervilmount::overload {

/** Ranks that share one counter of the demand histogram. */
constexpr int RanksPerBucket = 16;
constexpr int RankBuckets = RankCount / RanksPerBucket;

/** Period after which the threshold is set anew. */
constexpr std::chrono::milliseconds ThresholdWindow{100};

/**
 * Admission threshold of the node beside a backend server. It is set so that the demand up to the
 * threshold, measured per rank, fits what the backend server has started in the last windows.
 */
struct OwnThreshold
{
    Rank m_rank = HighestRank;
    /** Calls that arrived in the window, by bucket of ranks. */
    std::array<std::uint32_t, RankBuckets> m_arrivals{};
    /** Expected arrivals per window, by bucket of ranks. */
    std::array<float, RankBuckets> m_demand{};
    /** Calls per window that the backend server can take. */
    double m_capacity = 0.0;
    /** Growth of the capacity estimate per window without refusals. */
    double m_growth = 0.0;
    std::uint32_t m_arrived = 0;
    std::uint32_t m_started = 0;
    std::uint32_t m_refused = 0;
    std::chrono::steady_clock::time_point m_windowStart;
};

/** Counts the arrival of a call. */
void recordArrival(OwnThreshold &threshold, Rank rank);

/** Counts a call that was sent to the backend server. */
void recordStart(OwnThreshold &threshold);

/** Counts a call that was refused for overload by the queue, not by the threshold itself. */
void recordOverloadRefusal(OwnThreshold &threshold);

/** Sets the threshold anew when ThresholdWindow has passed. */
void updateThreshold(OwnThreshold &threshold, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
