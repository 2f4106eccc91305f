#include "overload/limit/concurrencylimit.h"

#include <algorithm>
#include <cstdint>

namespace chervilmount::overload {

namespace {

/** Minimum number of completed calls in a window, because the median of fewer is noise. */
constexpr std::size_t SmallestSample = 16;
/** Number of completed calls that is sufficient even if it is less than one round of calls. */
constexpr std::size_t LargestSample = 64;
/** A window with too few completed calls closes after this multiple of its length. */
constexpr int LongestWindowFactor = 10;
/** Utilisation from which the limit may grow. */
constexpr double UsedShare = 0.8;
/** Relative growth per window after the slow start. With growth per round of calls, the limit
 * exceeded its optimum before the first window was evaluated. */
constexpr double GrowthPerWindow = 0.25;
/** Above this multiple of the baseline the limit does not grow; the median of an unloaded server
 * is about 1.4 times its low percentile. */
constexpr double GrowthFactor = 1.6;
/** Settling time of a cut, in median latencies. Only calls that start after the number in flight
 * has fallen to the new limit show its effect. */
constexpr double CutSettles = 2.0;
/** The baseline is this percentile of a window. */
constexpr double BaselinePercentile = 0.1;

double percentile(std::vector<float> &values, double fraction)
{
    const std::size_t index = static_cast<std::size_t>(fraction * (values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

bool isUsed(const ConcurrencyLimit &limit)
{
    return limit.m_peakInFlight >= UsedShare * limitNow(limit);
}

void cut(ConcurrencyLimit &limit, const LimitSettings &settings)
{
    limit.m_limit = std::max(settings.m_minimum,
                             std::min<double>(limit.m_limit, limit.m_slots) * settings.m_cut);
}

/** @returns whether the relative latency reduction is less than half of that of the limit. */
bool cutsAreUseless(const ConcurrencyLimit &limit, double median)
{
    const double lowered = 1.0 - limit.m_limit / limit.m_limitBeforeCut;
    return median > (1.0 - lowered / 2.0) * limit.m_medianBeforeCut;
}

void judgeLatency(ConcurrencyLimit &limit, const LimitSettings &settings,
                  std::chrono::steady_clock::time_point now)
{
    const double low = percentile(limit.m_latencies, BaselinePercentile);
    const double median = percentile(limit.m_latencies, 0.5);
    if (limit.m_baseline == 0.0 || low < limit.m_baseline)
        limit.m_baseline = low;
    if (median <= settings.m_latencyFactor * limit.m_baseline) {
        limit.m_medianBeforeCut = 0.0;
        limit.m_suspect = false;
        if (median <= GrowthFactor * limit.m_baseline && limit.m_limit >= limit.m_slowStartEnd
            && isUsed(limit))
            limit.m_limit = std::min<double>(
                    limit.m_limit + std::max(1.0, GrowthPerWindow * limit.m_limit), limit.m_slots);
        return;
    }
    // The first calls to end after a change are the short ones, so the median of the first window
    // is too low for a comparison.
    if (!limit.m_suspect) {
        limit.m_suspect = true;
        return;
    }
    if (limit.m_medianBeforeCut > 0.0 && cutsAreUseless(limit, median)) {
        // Lower concurrency did not reduce the latency: the server is slow for another reason, and
        // a lower limit would only lose goodput. The current latency becomes the baseline.
        limit.m_baseline = low;
        limit.m_limit = limit.m_limitBeforeCut;
        limit.m_slowStartEnd = limit.m_limit;
        limit.m_medianBeforeCut = 0.0;
        limit.m_suspect = false;
        return;
    }
    if (limit.m_medianBeforeCut == 0.0) {
        limit.m_medianBeforeCut = median;
        limit.m_limitBeforeCut = std::min<double>(limit.m_limit, limit.m_slots);
    }
    cut(limit, settings);
    limit.m_slowStartEnd = limit.m_limit;
    limit.m_cutTakesEffectAt =
            now + std::chrono::nanoseconds{static_cast<std::int64_t>(CutSettles * median * 1e9)};
}

void closeWindow(ConcurrencyLimit &limit, const LimitSettings &settings,
                 std::chrono::steady_clock::time_point now)
{
    const double ended = static_cast<double>(limit.m_latencies.size()) + limit.m_failed;
    if (limit.m_failed > settings.m_failedShare * ended)
        cut(limit, settings);
    else if (!limit.m_latencies.empty())
        judgeLatency(limit, settings, now);
    limit.m_latencies.clear();
    limit.m_failed = 0;
    limit.m_peakInFlight = 0;
    limit.m_windowStart = std::max(now, limit.m_cutTakesEffectAt);
}

bool windowIsOver(const ConcurrencyLimit &limit, const LimitSettings &settings,
                  std::chrono::steady_clock::time_point now)
{
    const std::chrono::nanoseconds age = now - limit.m_windowStart;
    if (age < settings.m_window)
        return false;
    const std::size_t ended = limit.m_latencies.size() + limit.m_failed;
    const std::size_t round = std::min<std::size_t>(limitNow(limit), LargestSample);
    return ended >= std::max(SmallestSample, round) || limit.m_failed >= 5
            || age >= settings.m_window * LongestWindowFactor;
}

/** Slow start: raises the limit by one per success, up to the limit of the last cut. */
void growWithSuccess(ConcurrencyLimit &limit)
{
    if (limit.m_medianBeforeCut > 0.0 || limit.m_limit >= limit.m_slowStartEnd || !isUsed(limit))
        return;
    limit.m_limit = std::min<double>(limit.m_limit + 1.0, limit.m_slots);
}

} // namespace

ConcurrencyLimit coldLimit(const LimitSettings &settings, int slots)
{
    ConcurrencyLimit limit;
    limit.m_slots = std::max(slots, 1);
    limit.m_limit = std::min<double>(settings.m_initial, limit.m_slots);
    return limit;
}

int limitNow(const ConcurrencyLimit &limit)
{
    const double value = std::min(limit.m_limit, limit.m_reported);
    return std::clamp(static_cast<int>(value), 1, limit.m_slots);
}

void announceSlots(ConcurrencyLimit &limit, int slots)
{
    limit.m_slots = std::max(slots, 1);
    limit.m_limit = std::min<double>(limit.m_limit, limit.m_slots);
}

void reportFreeShare(ConcurrencyLimit &limit, double freeShare)
{
    limit.m_reported = std::clamp(freeShare, 0.0, 1.0) * limit.m_slots;
}

void recordResult(ConcurrencyLimit &limit, const LimitSettings &settings, CallResult result,
                  std::chrono::nanoseconds latency, int inFlight,
                  std::chrono::steady_clock::time_point now)
{
    if (limit.m_windowStart == std::chrono::steady_clock::time_point{})
        limit.m_windowStart = now;
    limit.m_peakInFlight = std::max(limit.m_peakInFlight, inFlight);
    if (result == CallResult::Success && now < limit.m_cutTakesEffectAt)
        return;
    if (result == CallResult::Success) {
        limit.m_latencies.push_back(std::chrono::duration<float>(latency).count());
        growWithSuccess(limit);
    } else if (result != CallResult::NotCounted) {
        ++limit.m_failed;
    }
    if (windowIsOver(limit, settings, now))
        closeWindow(limit, settings, now);
}

} // namespace chervilmount::overload
