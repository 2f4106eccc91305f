#include "traffic/profile/callprofile.h"

namespace chervilmount::traffic {

namespace {

/** Runs after which the counts are halved, so that a changed call graph is learned soon. */
constexpr double HalvingRuns = 400.0;
constexpr double FewestRuns = 5.0;
/** Calls rarer than this are wrong attributions. */
constexpr double FewestCallsPerRun = 0.1;
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

void recordRun(CallProfile &profile, const std::string &route)
{
    RouteCalls &calls = profile.m_routes[route];
    calls.m_runs += 1.0;
    if (calls.m_runs < HalvingRuns)
        return;
    calls.m_runs /= 2;
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
