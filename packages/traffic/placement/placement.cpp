#include "traffic/placement/placement.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Hold time that is assumed for a backend server that has not answered yet. */
constexpr double UnknownHoldSeconds = 0.1;
/** Part of the slots above which a backend server is expected to become slower. */
constexpr double BusyShare = 0.7;

double holdSeconds(const Target &target)
{
    return target.m_load.m_holdSeconds > 0 ? target.m_load.m_holdSeconds : UnknownHoldSeconds;
}

double usedShare(const Target &target)
{
    const double runs = target.m_load.m_running + target.m_load.m_waiting + target.m_sentSinceReport;
    return (runs + 1.0) / std::max(1, target.m_load.m_limit);
}

double waitSeconds(const Target &target)
{
    return std::max(0.0, usedShare(target) - 1.0) * holdSeconds(target);
}

double cost(const Target &target, const PlacementSettings &settings)
{
    double seconds = holdSeconds(target) + waitSeconds(target);
    // Spreads calls before the backend server is full, in proportion to the room that is left.
    seconds += std::max(0.0, usedShare(target) - BusyShare) * holdSeconds(target);
    if (target.m_place != routing::Place::SameFailureDomain)
        seconds += Seconds(settings.m_domainPenalty).count();
    if (target.m_place == routing::Place::OtherRegion)
        seconds += Seconds(settings.m_regionPenalty).count();
    return seconds;
}

} // namespace

std::chrono::nanoseconds expectedWait(const Target &target)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(waitSeconds(target)));
}

std::optional<Placement> choosePlacement(std::span<const Target *const> targets,
                                         std::span<const std::string> excluded,
                                         const PlacementSettings &settings,
                                         std::chrono::steady_clock::time_point now)
{
    std::optional<std::size_t> best;
    double bestCost = 0.0;
    bool bestEjected = false;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const Target &target = *targets[index];
        if (std::find(excluded.begin(), excluded.end(), target.m_node) != excluded.end())
            continue;
        const bool ejected = routing::isEjected(target.m_outlier, now);
        const double targetCost = cost(target, settings);
        const bool better = !best || (bestEjected && !ejected)
                || (bestEjected == ejected && targetCost < bestCost);
        if (!better)
            continue;
        best = index;
        bestCost = targetCost;
        bestEjected = ejected;
    }
    if (!best)
        return std::nullopt;
    return Placement{*best, expectedWait(*targets[*best])};
}

} // namespace chervilmount::traffic
