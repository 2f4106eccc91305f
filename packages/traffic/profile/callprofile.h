#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Nested calls that runs of one route make, as the node beside the backend server saw them. */
struct RouteCalls
{
    /** Runs that have ended, older ones count less. */
    double m_runs = 0.0;
    /** Time for which these runs lasted, in seconds. */
    double m_activeSeconds = 0.0;
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

/** Number of runs at the backend server, by route. */
using ActiveRuns = std::unordered_map<std::string, int>;

/**
 * Counts a nested call whose run is not known. It is divided among the routes that have runs at
 * the moment, in proportion to the calls that their runs are expected to make: the
 * expectation-maximisation estimate for a sum of Poisson processes (Dempster, Laird, Rubin 1977).
 * Since the mix of runs varies, the estimates converge to the routes that do make the calls.
 */
void recordUnassignedCall(CallProfile &profile, const ActiveRuns &active,
                          const std::string &route);

/** Counts the end of a run. @param lasted time for which it was at the backend server. */
void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted);

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
