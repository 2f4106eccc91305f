#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace chervilmount::traffic {

/** Nested calls that runs of one route make, as the node beside the backend server saw them. */
struct RouteCalls
{
    /** Runs that have ended, older ones count less. */
    double m_runs = 0.0;
    /** Nested calls by their route, older ones count less. */
    std::unordered_map<std::string, double> m_calls;
};

/** Learned calls of all routes at one node. */
struct CallProfile
{
    std::unordered_map<std::string, RouteCalls> m_routes;
};

/** Counts a nested call that a run of @p parent made on @p route. */
void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route);

/** Counts the end of a run. */
void recordRun(CallProfile &profile, const std::string &route);

/** Average nested calls by route for one run; an edge list that nodes exchange. */
using CallEdges = std::unordered_map<std::string, double>;

/** Call edges of each route, from all nodes. */
using CallGraph = std::unordered_map<std::string, CallEdges>;

/** @returns the edges that enough runs have shown. */
CallGraph learnedCalls(const CallProfile &profile);

/** Merges edges that another node reported; the newer report replaces the older. */
void mergeCalls(CallGraph &graph, const CallGraph &reported);

/**
 * Routes that a run of one route needs, directly or through others, with the expected number of
 * runs for one request. The route itself counts once.
 */
CallEdges expectedRuns(const CallGraph &graph, const std::string &route);

} // namespace chervilmount::traffic
