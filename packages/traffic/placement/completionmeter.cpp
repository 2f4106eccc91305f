#include "traffic/placement/completionmeter.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

/** A backend server counts as slowed if it should have completed this many times as many runs, and
 * at least this many more. Fewer differ by chance. @{ */
constexpr double SlowedFactor = 2.0;
constexpr double SlowedRuns = 4.0;
/** @} */
/** Age from which a run is overdue, in units of its expected hold time. */
constexpr double OverdueFactor = 1.5;
constexpr double MaximumRelativeHold = 10.0;

double paceOf(const RelativeHold &relative)
{
    return relative.m_value > 0 ? relative.m_value : 1.0;
}

void update(CompletionMeter &meter, std::chrono::steady_clock::time_point now)
{
    const double elapsed =
            std::max(0.0, std::chrono::duration<double>(now - meter.m_updatedAt).count());
    meter.m_updatedAt = now;
    const double factor =
            std::exp(-elapsed / std::chrono::duration<double>(meter.AveragingTime).count());
    meter.m_expected = meter.m_expected * factor + meter.m_rate * elapsed;
    meter.m_completed *= factor;
}

} // namespace

void startMeteredRun(CompletionMeter &meter, std::chrono::duration<double> expected,
                     std::chrono::steady_clock::time_point now)
{
    if (expected.count() <= 0)
        return;
    update(meter, now);
    meter.m_rate += 1.0 / expected.count();
}

void endMeteredRun(CompletionMeter &meter, std::chrono::duration<double> expected,
                   std::chrono::duration<double> lasted, bool served,
                   std::chrono::steady_clock::time_point now)
{
    if (expected.count() <= 0)
        return;
    update(meter, now);
    meter.m_rate = std::max(0.0, meter.m_rate - 1.0 / expected.count());
    if (served)
        meter.m_completed += 1.0;
    else if (lasted < expected)
        meter.m_expected = std::max(0.0, meter.m_expected - lasted / expected);
}

bool completesTooFew(const RelativeHold &relative, CompletionMeter meter,
                     std::chrono::steady_clock::time_point now)
{
    update(meter, now);
    return meter.m_expected / paceOf(relative) >= meter.m_completed * SlowedFactor + SlowedRuns;
}

double currentRelativeHold(const RelativeHold &relative, CompletionMeter meter, double longestRun,
                           std::chrono::steady_clock::time_point now)
{
    const double pace = paceOf(relative);
    if (longestRun < OverdueFactor * pace || !completesTooFew(relative, meter, now))
        return relative.m_value;
    update(meter, now);
    return std::min(MaximumRelativeHold, meter.m_expected / (meter.m_completed + 1.0));
}

} // namespace chervilmount::traffic
