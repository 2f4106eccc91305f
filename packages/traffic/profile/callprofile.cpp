#include "traffic/profile/callprofile.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chervilmount::traffic {

namespace {

/** Time constant of the exponential decay of observations. With less than one second, the estimated
 * costs of call trees followed every short queue, and admission oscillated with them. */
constexpr double DecaySeconds = 10.0;
constexpr double MinimumRuns = 5.0;
/** Number of runs below which observations do not decay. */
constexpr double RetainedRuns = 50.0;
/** Prior for the calls and the active time of a route; small, so that the first observations
 * dominate. */
constexpr double PriorCalls = 0.2;
constexpr double PriorActiveSeconds = 0.5;
/** Calls per run below this value are considered wrong attributions. */
constexpr double MinimumCallsPerRun = 0.25;
constexpr int MaximumCallDepth = 15;
/** More runs, calls or seconds than decaying observations of one backend server add up to. */
constexpr double ImplausibleCount = 1e9;

bool isObserved(const RouteProfile &route)
{
    return route.m_runs >= MinimumRuns;
}

void addExpectedRuns(const CallProfile &profile, const std::string &route, double runs, int depth,
                     std::unordered_map<std::string, ExpectedRuns> &result)
{
    ExpectedRuns &expected = result[route];
    expected.m_runs += runs;
    const auto found = profile.find(route);
    if (found == profile.end() || !isObserved(found->second))
        return;
    const RouteProfile &observed = found->second;
    expected.m_slotSeconds += runs * observed.m_activeSeconds / observed.m_runs;
    if (depth == 0)
        return;
    for (const auto &[callee, calls] : observed.m_calls) {
        const double callsPerRun = calls / observed.m_runs;
        if (callsPerRun >= MinimumCallsPerRun)
            addExpectedRuns(profile, callee, runs * callsPerRun, depth - 1, result);
    }
}

} // namespace

bool isPlausible(const RouteProfile &route)
{
    const auto inRange = [](double value) { return value >= 0 && value < ImplausibleCount; };
    return inRange(route.m_runs) && inRange(route.m_activeSeconds)
            && std::all_of(route.m_calls.begin(), route.m_calls.end(),
                           [&inRange](const auto &entry) { return inRange(entry.second); });
}

void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route,
                      double count)
{
    profile[parent].m_calls[route] += count;
}

void recordUnassignedCall(OpenCalls &open, const CallProfile &profile, const ActiveRuns &active,
                          const std::string &route)
{
    static const RouteProfile unknown;
    std::vector<std::pair<std::string, double>> weights;
    double sum = 0;
    for (const auto &[parent, runs] : active) {
        const auto observed = profile.find(parent);
        const RouteProfile &calls = observed == profile.end() ? unknown : observed->second;
        const auto counted = calls.m_calls.find(route);
        const double count = counted == calls.m_calls.end() ? 0.0 : counted->second;
        const double weight =
                runs * (count + PriorCalls) / (calls.m_activeSeconds + PriorActiveSeconds);
        weights.emplace_back(parent, weight);
        sum += weight;
    }
    if (!(sum > 0))
        return;
    for (const auto &[parent, weight] : weights)
        open[parent][route] += weight / sum;
}

CallCounts takeOpenCalls(OpenCalls &open, const std::string &route, int activeRuns)
{
    CallCounts taken;
    const auto found = open.find(route);
    if (found == open.end())
        return taken;
    // The run that made a call is not known; the calls are divided evenly among the active runs.
    const double part = 1.0 / std::max(1, activeRuns);
    for (auto &[callee, calls] : found->second) {
        taken[callee] = calls * part;
        calls -= taken[callee];
    }
    return taken;
}

void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted,
               const CallCounts &calls)
{
    RouteProfile &observed = profile[route];
    observed.m_runs += 1.0;
    observed.m_activeSeconds += std::chrono::duration<double>(lasted).count();
    for (const auto &[callee, count] : calls)
        recordNestedCall(profile, route, callee, count);
}

void ageProfile(CallProfile &profile, std::chrono::nanoseconds elapsed)
{
    const double factor = std::exp(-std::chrono::duration<double>(elapsed).count() / DecaySeconds);
    for (auto &[route, observed] : profile) {
        // Keeps the statistics of routes that are rarely used.
        if (observed.m_runs * factor < RetainedRuns)
            continue;
        observed.m_runs *= factor;
        observed.m_activeSeconds *= factor;
        for (auto &[callee, calls] : observed.m_calls)
            calls *= factor;
    }
}

void addProfile(CallProfile &sum, const CallProfile &other)
{
    for (const auto &[route, observed] : other) {
        RouteProfile &target = sum[route];
        target.m_runs += observed.m_runs;
        target.m_activeSeconds += observed.m_activeSeconds;
        for (const auto &[callee, calls] : observed.m_calls)
            target.m_calls[callee] += calls;
    }
}

std::unordered_map<std::string, ExpectedRuns> expectedRuns(const CallProfile &profile,
                                                           const std::string &route)
{
    std::unordered_map<std::string, ExpectedRuns> result;
    addExpectedRuns(profile, route, 1.0, MaximumCallDepth, result);
    return result;
}

} // namespace chervilmount::traffic
