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
    /** Runs that go on, and their nested calls so far. They count only when the runs end: calls
     * without their runs would make a run look more expensive whenever many begin at once. @{ */
    double m_openRuns = 0.0;
    std::unordered_map<std::string, double> m_openCalls;
    /** @} */
};

/** Profiles by route: what one node has observed, or the sum over nodes. */
using CallProfile = std::unordered_map<std::string, RouteProfile>;

/** Counts the start of a run. */
void beginRun(CallProfile &profile, const std::string &route);

/** Forgets a run that was begun and did not reach the backend server. */
void dropRun(CallProfile &profile, const std::string &route);

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
void recordUnassignedCall(CallProfile &profile, const ActiveRuns &active, const std::string &route);

/** Counts the end of a run and its part of the calls of open runs. @param lasted time for which it
 * was at the backend server. */
void recordRun(CallProfile &profile, const std::string &route, std::chrono::nanoseconds lasted);

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
