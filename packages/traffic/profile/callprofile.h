#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** What runs of one route do, as the node beside the backend server sees them. */
struct RouteProfile
{
    /** Runs that have ended, older ones count less. */
    double m_runs = 0.0;
    /** Time for which these runs held a slot, in seconds. */
    double m_activeSeconds = 0.0;
    /** Nested calls of these runs, by their route. */
    std::unordered_map<std::string, double> m_calls;
};

/** Profiles by route: what one node has observed, or the sum over nodes. */
using CallProfile = std::unordered_map<std::string, RouteProfile>;

/** Number of nested calls, by their route. */
using CallCounts = std::unordered_map<std::string, double>;

/** Counts nested calls that a run of @p parent made on @p route. */
void recordNestedCall(CallProfile &profile, const std::string &parent, const std::string &route,
                      double count = 1.0);

/** Number of runs at the backend server, by route. */
using ActiveRuns = std::unordered_map<std::string, int>;

/** Nested calls whose run is not known and may go on, by the route of the runs. */
using OpenCalls = std::unordered_map<std::string, CallCounts>;

/**
 * Counts a nested call whose run is not known. It is divided among the routes that have runs at
 * the moment, in proportion to the calls that their runs are expected to make: the
 * expectation-maximisation estimate for a sum of Poisson processes (Dempster, Laird, Rubin 1977).
 * Since the mix of runs varies, the estimates converge to the routes that do make the calls.
 */
void recordUnassignedCall(OpenCalls &open, const CallProfile &profile, const ActiveRuns &active,
                          const std::string &route);

/** Takes the part of the open calls that belongs to one of the active runs of the route. */
CallCounts takeOpenCalls(OpenCalls &open, const std::string &route, int activeRuns);

/**
 * Counts the end of a run with the nested calls that it made. Calls are not counted before: without
 * their runs they would make a run look more expensive whenever many begin at once.
 * @param lasted time for which it was at the backend server.
 */
void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted,
               const CallCounts &calls = {});

/** Lets what was observed earlier count less; to be called about every second. */
void ageProfile(CallProfile &profile, std::chrono::nanoseconds elapsed);

/** Adds what another node has observed. */
void addProfile(CallProfile &sum, const CallProfile &other);

/** What one request of a route needs of another route's service. */
struct ExpectedRuns
{
    double m_runs = 0.0;
    /** Time for which they hold a slot, in seconds. */
    double m_slotSeconds = 0.0;
};

/**
 * @returns the routes that a request needs, directly or through nested calls, with the route
 * itself. Routes that have hardly been observed have no slot time.
 */
std::unordered_map<std::string, ExpectedRuns> expectedRuns(const CallProfile &profile,
                                                           const std::string &route);

} // namespace chervilmount::traffic
