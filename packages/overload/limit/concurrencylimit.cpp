#include "overload/limit/concurrencylimit.h"

#include <algorithm>
#include <cstdint>

namespace chervilmount::overload {

namespace {

/** A window with fewer ended calls goes on, since its median would be chance. */
constexpr std::size_t SmallestSample = 16;
/** A slow server ends few calls; the window then closes after this multiple of its length. */
constexpr int LongestWindowFactor = 10;
/** The limit counts as used from this share on; an unused limit does not grow. */
constexpr double UsedShare = 0.8;
/** Growth per round of calls above the end of the slow start. */
constexpr double GrowthPerRound = 0.1;
/** A cut that lowers the latency by less than a tenth shows that concurrency is not the cause. */
constexpr double UselessCutRatio = 0.9;
/** The baseline is this percentile of a window. */
constexpr double BaselinePercentile = 0.1;

double percentile(std::vector<float> &values, double fraction)
{
    const std::size_t index = static_cast<std::size_t>(fraction * (values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

void cut(ConcurrencyLimit &limit, const LimitSettings &settings)
{
    limit.m_limit = std::max(settings.m_minimum,
                             std::min<double>(limit.m_limit, limit.m_slots) * settings.m_cut);
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
        return;
    }
    if (limit.m_medianBeforeCut > 0.0 && median > UselessCutRatio * limit.m_medianBeforeCut) {
        // Fewer calls did not make the server faster: it is slow for another reason, and a lower
        // limit would only lose goodput. The present latency becomes the baseline.
        limit.m_baseline = low;
        limit.m_medianBeforeCut = 0.0;
        limit.m_slowStartEnd = limit.m_slots;
        return;
    }
    limit.m_medianBeforeCut = median;
    cut(limit, settings);
    limit.m_slowStartEnd = limit.m_limit;
    limit.m_cutTakesEffectAt =
            now + std::chrono::nanoseconds{static_cast<std::int64_t>(median * 1e9)};
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
    limit.m_windowStart = now;
}

bool windowIsOver(const ConcurrencyLimit &limit, const LimitSettings &settings,
                  std::chrono::steady_clock::time_point now)
{
    const std::chrono::nanoseconds age = now - limit.m_windowStart;
    if (age < settings.m_window)
        return false;
    const std::size_t ended = limit.m_latencies.size() + limit.m_failed;
    return ended >= SmallestSample || limit.m_failed >= 5
            || age >= settings.m_window * LongestWindowFactor;
}

void grow(ConcurrencyLimit &limit)
{
    // While the effect of a cut is measured, the limit stays as it is.
    if (limit.m_medianBeforeCut > 0.0 || limit.m_peakInFlight < UsedShare * limitNow(limit))
        return;
    const double step = limit.m_limit < limit.m_slowStartEnd
            ? 1.0
            : std::max(1.0, GrowthPerRound * limit.m_limit) / limit.m_limit;
    limit.m_limit = std::min<double>(limit.m_limit + step, limit.m_slots);
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
        grow(limit);
    } else if (result != CallResult::NotCounted) {
        ++limit.m_failed;
    }
    if (windowIsOver(limit, settings, now))
        closeWindow(limit, settings, now);
}

} // namespace chervilmount::overload
