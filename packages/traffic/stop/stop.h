#pragma once

#include <chrono>
#include <optional>

namespace chervilmount::traffic {

/** How long a node that is being stopped goes on; all times count from the request to stop. */
struct StopSettings
{
    /** Time for which callers are served. They need it to notice that the node is not ready; those
     * that come later are refused, so that what runs can end. */
    std::chrono::milliseconds m_servesCallers{2600};
    /** Time for which the node takes work for its backend server from other nodes, which are
     * without that backend server afterwards. */
    std::chrono::milliseconds m_servesOthers{1700};
    /** Time after which it ends whatever still runs. */
    std::chrono::milliseconds m_longest{5500};
    /** Part of the longest time that is left for sending the last responses. */
    std::chrono::milliseconds m_sendsResponses{300};
};

/** A stop of this node, if it has been requested. */
struct Stop
{
    StopSettings m_settings;
    std::optional<std::chrono::steady_clock::time_point> m_requestedAt;
};

bool isStopping(const Stop &stop);

/** @returns whether callers' requests are served. */
bool servesCallers(const Stop &stop, std::chrono::steady_clock::time_point now);

/** @returns whether other nodes' calls are run. */
bool servesOthers(const Stop &stop, std::chrono::steady_clock::time_point now);

/**
 * Decides on a nested call of a run that has begun. One that cannot end in time would be cut off.
 * @param expected time that it takes, with its wait for a slot.
 */
bool servesNestedCall(const Stop &stop, std::chrono::nanoseconds expected,
                      std::chrono::steady_clock::time_point now);

/**
 * @returns the deadline for work that is taken now: backend servers end it by themselves then, and
 * their answers still reach the callers. The latest time point if no stop was requested.
 */
std::chrono::steady_clock::time_point latestDeadline(const Stop &stop);

/** @returns whether requests that have not ended have to be given up. */
bool givesUp(const Stop &stop, std::chrono::steady_clock::time_point now);

/** @param busy whether requests or unsent answers are left. @returns whether the process ends. */
bool hasEnded(const Stop &stop, bool busy, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
