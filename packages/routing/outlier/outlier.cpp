#include "routing/outlier/outlier.h"

#include <algorithm>

namespace chervilmount::routing {

namespace {

/** Maximum exponent of the ejection duration, to avoid integer overflow. */
constexpr int LargestDoubling = 20;

} // namespace

bool recordAttempt(OutlierState &state, const OutlierSettings &settings, AttemptResult result)
{
    if (result == AttemptResult::NotCounted)
        return false;
    if (result == AttemptResult::Success) {
        state.m_failures = 0;
        state.m_timeouts = 0;
        state.m_ejections = 0;
        return false;
    }
    ++state.m_failures;
    state.m_timeouts = result == AttemptResult::Timeout ? state.m_timeouts + 1 : 0;
    return state.m_ejections > 0 || state.m_failures >= settings.m_failuresInRow
            || state.m_timeouts >= settings.m_timeoutsInRow;
}

void eject(OutlierState &state, const OutlierSettings &settings,
           std::chrono::steady_clock::time_point now)
{
    const std::int64_t factor = std::int64_t{1} << std::min(state.m_ejections, LargestDoubling);
    state.m_ejectedUntil =
            now + std::min(settings.m_firstEjection * factor, settings.m_longestEjection);
    state.m_failures = 0;
    state.m_timeouts = 0;
    ++state.m_ejections;
}

bool isEjected(const OutlierState &state, std::chrono::steady_clock::time_point now)
{
    return now < state.m_ejectedUntil;
}

} // namespace chervilmount::routing
