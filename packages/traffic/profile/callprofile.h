#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Statistics of the runs of one route, as observed by the node of the backend server. */
struct RouteProfile
{
    /** Completed runs, with exponential decay. */
    double m_runs = 0.0;
    /** Total time for which these runs held a slot, in seconds. */
    double m_activeSeconds = 0.0;
    /** Nested calls of these runs, by route of the call. */
    std::unordered_map<std::string, double> m_calls;
};

/** Profiles by route, of one node or summed over nodes. */
using CallProfile = std::unordered_map<std::string, RouteProfile>;

/** Number of nested calls, by route of the call. */
using CallCounts = std::unordered_map<std::string, double>;

/** @returns whether all counts and times are finite, not negative, and no more than a backend
 * server can have observed; a profile of another node or of the store may be anything. */
bool isPlausible(const RouteProfile &route);

/** Counts nested calls on @p route made by a run of @p parent. */
void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route,
                      double count = 1.0);

/** Number of runs at the backend server, by route. */
using ActiveRuns = std::unordered_map<std::string, int>;

/** Nested calls without a known parent run, by the route to which they are attributed; their runs
 * may not have ended. */
using OpenCalls = std::unordered_map<std::string, CallCounts>;

/**
 * Counts a nested call whose parent run is not known. It is divided among the routes with active
 * runs, in proportion to the calls that their runs are expected to make: the
 * expectation-maximisation estimate for a sum of Poisson processes (Dempster, Laird, Rubin 1977).
 * Because the mix of runs varies, the estimates converge to the routes that make the calls.
 */
void recordUnassignedCall(OpenCalls &open, const CallProfile &profile, const ActiveRuns &active,
                          const std::string &route);

/** Removes and returns the share of the unattributed calls of one active run of the route. */
CallCounts takeOpenCalls(OpenCalls &open, const std::string &route, int activeRuns);

/**
 * Records a completed run together with its nested calls. Calls are not counted earlier: otherwise
 * the calls per run would be overestimated whenever many runs start at once.
 * @param lasted time for which the run was at the backend server.
 */
void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted,
               const CallCounts &calls = {});

/** Decays earlier observations exponentially; to be called about every second. */
void ageProfile(CallProfile &profile, std::chrono::nanoseconds elapsed);

/** Adds the observations of another node. */
void addProfile(CallProfile &sum, const CallProfile &other);

/** Expected runs on one route caused by a request. */
struct ExpectedRuns
{
    double m_runs = 0.0;
    /** Time for which they hold a slot, in seconds. */
    double m_slotSeconds = 0.0;
};

/**
 * @returns the expected runs on all routes that a request reaches directly or through nested calls,
 * including its own route. Routes with too few observations have a slot time of 0.
 */
std::unordered_map<std::string, ExpectedRuns> expectedRuns(const CallProfile &profile,
                                                           const std::string &route);

} // namespace chervilmount::traffic
