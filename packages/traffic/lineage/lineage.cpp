#include "traffic/lineage/lineage.h"

#include <iterator>

namespace chervilmount::traffic {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** @returns the run findNearestRun to the time and its distance. */
std::optional<std::pair<std::uint64_t, std::chrono::nanoseconds>>
findNearestRun(const Lineage &lineage, TimePoint time)
{
    std::optional<std::pair<std::uint64_t, std::chrono::nanoseconds>> best;
    const auto after = lineage.m_runs.lower_bound(time);
    if (after != lineage.m_runs.end())
        best = {after->second, after->first - time};
    if (after != lineage.m_runs.begin()) {
        const auto before = std::prev(after);
        const std::chrono::nanoseconds distance = time - before->first;
        if (!best || distance < best->second)
            best = {before->second, distance};
    }
    return best;
}

} // namespace

TimePoint enterRun(Lineage &lineage, std::uint64_t run, TimePoint deadline)
{
    TimePoint shifted = deadline;
    const TimePoint earliest = deadline - lineage.m_settings.m_maximumShift;
    while (shifted > earliest) {
        const auto neighbour = findNearestRun(lineage, shifted);
        if (!neighbour || neighbour->second >= lineage.m_settings.m_spacing)
            break;
        shifted -= std::chrono::milliseconds{1};
    }
    lineage.m_runs.emplace(shifted, run);
    return shifted;
}

void leaveRun(Lineage &lineage, std::uint64_t run, TimePoint deadline)
{
    const auto found = lineage.m_runs.find(deadline);
    if (found != lineage.m_runs.end() && found->second == run)
        lineage.m_runs.erase(found);
}

std::optional<std::uint64_t> findRun(const Lineage &lineage, TimePoint deadline)
{
    const auto best = findNearestRun(lineage, deadline);
    if (!best || best->second > lineage.m_settings.m_tolerance)
        return std::nullopt;
    return best->first;
}

} // namespace chervilmount::traffic
