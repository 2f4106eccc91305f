#include "traffic/profile/callprofile.h"

#include <utility>
#include <vector>

namespace chervilmount::traffic {

namespace {

/** Runs after which the counts are halved, so that a changed call graph is learned soon. */
constexpr double HalvingRuns = 400.0;
constexpr double FewestRuns = 5.0;
/** Calls and time that a route is assumed to have shown before its first run; small, so that the
 * first observations count. */
constexpr double PriorCalls = 0.2;
constexpr double PriorActiveSeconds = 0.5;
/** Calls rarer than this are wrong attributions. */
constexpr double FewestCallsPerRun = 0.25;
constexpr int DeepestCalls = 15;

void addRuns(const CallGraph &graph, const std::string &route, double runs, int depth,
             CallEdges &result)
{
    result[route] += runs;
    if (depth == 0)
        return;
    const auto found = graph.find(route);
    if (found == graph.end())
        return;
    for (const auto &[callee, calls] : found->second)
        addRuns(graph, callee, runs * calls, depth - 1, result);
}

} // namespace

void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route)
{
    profile.m_routes[parent].m_calls[route] += 1.0;
}

void recordUnassignedCall(CallProfile &profile, const ActiveRuns &active, const std::string &route)
{
    std::vector<std::pair<std::string, double>> weights;
    double sum = 0;
    for (const auto &[parent, runs] : active) {
        const RouteCalls &calls = profile.m_routes[parent];
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
        profile.m_routes[parent].m_calls[route] += weight / sum;
}

void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted)
{
    RouteCalls &calls = profile.m_routes[route];
    calls.m_runs += 1.0;
    calls.m_activeSeconds += std::chrono::duration<double>(lasted).count();
    if (calls.m_runs < HalvingRuns)
        return;
    calls.m_runs /= 2;
    calls.m_activeSeconds /= 2;
    for (auto &[callee, count] : calls.m_calls)
        count /= 2;
}

CallGraph learnedCalls(const CallProfile &profile)
{
    CallGraph graph;
    for (const auto &[route, calls] : profile.m_routes) {
        if (calls.m_runs < FewestRuns)
            continue;
        CallEdges edges;
        for (const auto &[callee, count] : calls.m_calls) {
            if (count / calls.m_runs >= FewestCallsPerRun)
                edges.emplace(callee, count / calls.m_runs);
        }
        graph.emplace(route, std::move(edges));
    }
    return graph;
}

void mergeCalls(CallGraph &graph, const CallGraph &reported)
{
    for (const auto &[route, edges] : reported)
        graph[route] = edges;
}

CallEdges expectedRuns(const CallGraph &graph, const std::string &route)
{
    CallEdges result;
    addRuns(graph, route, 1.0, DeepestCalls, result);
    return result;
}

} // namespace chervilmount::traffic
