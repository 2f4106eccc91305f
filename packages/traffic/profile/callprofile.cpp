#include "traffic/profile/callprofile.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chervilmount::traffic {

namespace {

/** Time constant at which observations lose weight. A memory of less than a second made the costs
 * of call trees follow every short queue, and the admission swing with them. */
constexpr double MemorySeconds = 10.0;
constexpr double FewestRuns = 5.0;
/** Runs that are remembered for good. */
constexpr double KeptRuns = 50.0;
/** Calls and time that a route is assumed to have shown before its first run; small, so that the
 * first observations count. */
constexpr double PriorCalls = 0.2;
constexpr double PriorActiveSeconds = 0.5;
/** Calls rarer than this are wrong attributions. */
constexpr double FewestCallsPerRun = 0.25;
constexpr int DeepestCalls = 15;

bool isObserved(const RouteProfile &route)
{
    return route.m_runs >= FewestRuns;
}

void addRuns(const CallProfile &profile, const std::string &route, double runs, int depth,
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
        if (callsPerRun >= FewestCallsPerRun)
            addRuns(profile, callee, runs * callsPerRun, depth - 1, result);
    }
}

} // namespace

void beginRun(CallProfile &profile, const std::string &route)
{
    profile[route].m_openRuns += 1.0;
}

void dropRun(CallProfile &profile, const std::string &route)
{
    RouteProfile &dropped = profile[route];
    dropped.m_openRuns = std::max(0.0, dropped.m_openRuns - 1.0);
}

void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route)
{
    profile[parent].m_openCalls[route] += 1.0;
}

void recordUnassignedCall(CallProfile &profile, const ActiveRuns &active, const std::string &route)
{
    std::vector<std::pair<std::string, double>> weights;
    double sum = 0;
    for (const auto &[parent, runs] : active) {
        const RouteProfile &calls = profile[parent];
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
        profile[parent].m_openCalls[route] += weight / sum;
}

void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted)
{
    RouteProfile &calls = profile[route];
    calls.m_runs += 1.0;
    calls.m_activeSeconds += std::chrono::duration<double>(lasted).count();
    // Which of the open runs made a call is not always known; each is taken to have made as many.
    const double part = 1.0 / std::max(1.0, calls.m_openRuns);
    for (auto &[callee, open] : calls.m_openCalls) {
        const double made = open * part;
        calls.m_calls[callee] += made;
        open -= made;
    }
    calls.m_openRuns = std::max(0.0, calls.m_openRuns - 1.0);
}

void ageProfile(CallProfile &profile, std::chrono::nanoseconds elapsed)
{
    const double factor = std::exp(-std::chrono::duration<double>(elapsed).count() / MemorySeconds);
    for (auto &[route, observed] : profile) {
        // A few runs are kept, so that a route that is seldom used is not forgotten.
        if (observed.m_runs * factor < KeptRuns)
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
    addRuns(profile, route, 1.0, DeepestCalls, result);
    return result;
}

} // namespace chervilmount::traffic
