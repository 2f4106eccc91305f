#include "overload/threshold/ownthreshold.h"

#include <algorithm>
#include <limits>

namespace chervilmount::overload {

namespace {

/** Refusals below this share of the arrivals do not count as overload. */
constexpr double RefusedTolerance = 0.03;
/** Delayed calls below this share of the arrivals do not count as overload: a short queue keeps the
 * slots in use. */
constexpr double DelayedTolerance = 0.7;
/** Weight of the newest window in the demand. */
constexpr float DemandWeight = 0.3F;
/** Decay per window of the estimated demand above the threshold, which is hardly observed; the
 * estimate halves in about 14 s. With 2 s the threshold repeatedly rose into persisting demand. */
constexpr float UnseenDemandDecay = 0.995F;
/** Growth factor of the maximum rise per window without overload. */
constexpr int RiseFactor = 4;
/** Steps of the fill, small so that it averages the noise of many windows. */
constexpr double FillUp = 0.02;
constexpr double FillDown = 0.02;
constexpr double SmallestFill = 0.9;
constexpr double LargestFill = 1.3;

void updateDemand(OwnThreshold &threshold, double seconds)
{
    const int admittedBuckets = threshold.m_rank / RanksPerBucket;
    for (int bucket = 0; bucket < RankBuckets; ++bucket) {
        const float seen =
                static_cast<float>(threshold.m_arrivals[bucket]) / static_cast<float>(seconds);
        float &demand = threshold.m_demand[bucket];
        if (bucket <= admittedBuckets)
            demand += DemandWeight * (seen - demand);
        else
            demand *= UnseenDemandDecay;
    }
}

int fittingBuckets(const OwnThreshold &threshold, double capacity)
{
    double sum = 0.0;
    for (int bucket = 0; bucket < RankBuckets; ++bucket) {
        sum += threshold.m_demand[bucket];
        if (sum > capacity)
            return bucket;
    }
    return RankBuckets;
}

void resetWindow(OwnThreshold &threshold, std::chrono::steady_clock::time_point now)
{
    threshold.m_arrivals.fill(0);
    threshold.m_arrived = 0;
    threshold.m_refused = 0;
    threshold.m_delayed = 0;
    threshold.m_windowStart = now;
}

} // namespace

void recordArrival(OwnThreshold &threshold, Rank rank)
{
    std::uint16_t &count = threshold.m_arrivals[std::min<int>(rank, HighestRank) / RanksPerBucket];
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
    ++threshold.m_arrived;
}

void recordOverloadRefusal(OwnThreshold &threshold)
{
    ++threshold.m_refused;
}

void recordDelay(OwnThreshold &threshold)
{
    ++threshold.m_delayed;
}

void updateThreshold(OwnThreshold &threshold, double capacity,
                     std::chrono::steady_clock::time_point now)
{
    if (threshold.m_windowStart == std::chrono::steady_clock::time_point{})
        threshold.m_windowStart = now;
    const std::chrono::nanoseconds elapsed = now - threshold.m_windowStart;
    if (elapsed < ThresholdWindow)
        return;
    const bool overloaded = threshold.m_refused > RefusedTolerance * threshold.m_arrived
            || threshold.m_delayed > DelayedTolerance * threshold.m_arrived;
    updateDemand(threshold, std::chrono::duration<double>(elapsed).count());
    if (capacity > 0.0 && (overloaded || threshold.m_rank < HighestRank)) {
        threshold.m_fill = std::clamp(threshold.m_fill + (overloaded ? -FillDown : FillUp),
                                      SmallestFill, LargestFill);
        threshold.m_rise = overloaded ? 1 : std::min(RiseFactor * threshold.m_rise, RankBuckets);
        const int present = (threshold.m_rank + 1) / RanksPerBucket;
        const int buckets = std::min(fittingBuckets(threshold, capacity * threshold.m_fill),
                                     present + threshold.m_rise);
        // The most important bucket is always admitted, so that the threshold can recover.
        threshold.m_rank =
                static_cast<Rank>(std::clamp(buckets, 1, RankBuckets) * RanksPerBucket - 1);
    } else {
        threshold.m_fill = 1.0;
        threshold.m_rise = 1;
    }
    resetWindow(threshold, now);
}

} // namespace chervilmount::overload
