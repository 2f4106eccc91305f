#include "overload/threshold/ownthreshold.h"

#include <algorithm>

namespace chervilmount::overload {

namespace {

/** Refusals below this share of the arrivals do not count as overload. */
constexpr double RefusedTolerance = 0.01;
/** Weight of the newest window in the averages. */
constexpr double DemandWeight = 0.3;
constexpr double CapacityWeight = 0.5;
/** Demand above the threshold is hardly seen; its estimate halves in about 2 s. */
constexpr double UnseenDemandDecay = 0.97;
constexpr double SmallestGrowth = 0.02;
constexpr double LargestGrowth = 0.3;

void updateDemand(OwnThreshold &threshold)
{
    const int admittedBuckets = threshold.m_rank / RanksPerBucket;
    for (int bucket = 0; bucket < RankBuckets; ++bucket) {
        const float seen = static_cast<float>(threshold.m_arrivals[bucket]);
        float &demand = threshold.m_demand[bucket];
        if (bucket <= admittedBuckets)
            demand += static_cast<float>(DemandWeight) * (seen - demand);
        else
            demand = std::max(seen, demand * static_cast<float>(UnseenDemandDecay));
    }
}

void updateCapacity(OwnThreshold &threshold, bool overloaded)
{
    if (overloaded) {
        threshold.m_growth = 0.0;
        threshold.m_capacity += CapacityWeight * (threshold.m_started - threshold.m_capacity);
        return;
    }
    threshold.m_growth = std::clamp(threshold.m_growth * 2.0, SmallestGrowth, LargestGrowth);
    threshold.m_capacity = std::max<double>(threshold.m_capacity, threshold.m_started)
            * (1.0 + threshold.m_growth);
}

Rank highestFittingRank(const OwnThreshold &threshold)
{
    double sum = 0.0;
    for (int bucket = 0; bucket < RankBuckets; ++bucket) {
        sum += threshold.m_demand[bucket];
        // The most important bucket is always admitted, so that the threshold can rise again.
        if (sum > threshold.m_capacity + 1.0)
            return static_cast<Rank>(std::max(bucket, 1) * RanksPerBucket - 1);
    }
    return HighestRank;
}

} // namespace

void recordArrival(OwnThreshold &threshold, Rank rank)
{
    ++threshold.m_arrivals[std::min<int>(rank, HighestRank) / RanksPerBucket];
    ++threshold.m_arrived;
}

void recordStart(OwnThreshold &threshold)
{
    ++threshold.m_started;
}

void recordOverloadRefusal(OwnThreshold &threshold)
{
    ++threshold.m_refused;
}

void updateThreshold(OwnThreshold &threshold, std::chrono::steady_clock::time_point now)
{
    if (threshold.m_windowStart == std::chrono::steady_clock::time_point{})
        threshold.m_windowStart = now;
    if (now - threshold.m_windowStart < ThresholdWindow)
        return;
    const bool overloaded = threshold.m_refused > RefusedTolerance * threshold.m_arrived;
    if (overloaded || threshold.m_rank < HighestRank) {
        updateDemand(threshold);
        updateCapacity(threshold, overloaded);
        threshold.m_rank = highestFittingRank(threshold);
    } else {
        updateDemand(threshold);
        threshold.m_capacity = threshold.m_started;
        threshold.m_growth = 0.0;
    }
    threshold.m_arrivals.fill(0);
    threshold.m_arrived = 0;
    threshold.m_started = 0;
    threshold.m_refused = 0;
    threshold.m_windowStart = now;
}

} // namespace chervilmount::overload
