#include "traffic/placement/relativehold.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

/** Bounds of one run's value: a single slow run must not keep all others away. @{ */
constexpr double Smallest = 0.1;
constexpr double Largest = 10.0;
/** @} */

/** Weight of one run, by the time since the last one. @{ */
constexpr double AveragingSeconds = 2.0;
constexpr double SmallestWeight = 0.02;
constexpr double LargestWeight = 0.7;
/** @} */

} // namespace

void recordHold(RelativeHold &relative, std::chrono::duration<double> hold,
                std::chrono::duration<double> expected, std::chrono::steady_clock::time_point now)
{
    if (expected.count() <= 0 || hold.count() <= 0)
        return;
    const double value = std::clamp(hold / expected, Smallest, Largest);
    const double elapsed = std::chrono::duration<double>(now - relative.m_updatedAt).count();
    relative.m_updatedAt = now;
    if (relative.m_value <= 0) {
        relative.m_value = value;
        return;
    }
    const double weight =
            std::clamp(1.0 - std::exp(-elapsed / AveragingSeconds), SmallestWeight, LargestWeight);
    relative.m_value += (value - relative.m_value) * weight;
}

} // namespace chervilmount::traffic
