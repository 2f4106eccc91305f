#include "traffic/placement/relativehold.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

/** Bounds of the value of one run, so that a single slow run does not divert all others. @{ */
constexpr double MinimumValue = 0.1;
constexpr double MaximumValue = 10.0;
/** @} */

/** Weight of one run, which grows with the time since the last one. @{ */
constexpr double AveragingSeconds = 2.0;
constexpr double MinimumWeight = 0.02;
constexpr double MaximumWeight = 0.7;
/** @} */

} // namespace

void recordHold(RelativeHold &relative, std::chrono::duration<double> hold,
                std::chrono::duration<double> expected, std::chrono::steady_clock::time_point now)
{
    if (expected.count() <= 0 || hold.count() <= 0)
        return;
    const double value = std::clamp(hold / expected, MinimumValue, MaximumValue);
    const double elapsed = std::chrono::duration<double>(now - relative.m_updatedAt).count();
    relative.m_updatedAt = now;
    if (relative.m_value <= 0) {
        relative.m_value = value;
        return;
    }
    const double weight =
            std::clamp(1.0 - std::exp(-elapsed / AveragingSeconds), MinimumWeight, MaximumWeight);
    relative.m_value += (value - relative.m_value) * weight;
}

} // namespace chervilmount::traffic
