#pragma once

#include <chrono>
#include <optional>

namespace chervilmount::traffic {

/** Phases of a graceful shutdown; all times are relative to the shutdown request. */
struct StopSettings
{
    /** Period in which callers' requests are accepted, until callers have noticed that the node is
     * not ready. Later requests are refused, so that the running ones can complete. */
    std::chrono::milliseconds m_servesCallers{2600};
    /** Period in which other nodes' calls to the backend server of this node are accepted. */
    std::chrono::milliseconds m_servesOthers{1700};
    /** Time after which the process ends even if requests are running. */
    std::chrono::milliseconds m_longest{5500};
    /** Part of the maximum duration that is reserved for sending the last responses. */
    std::chrono::milliseconds m_sendsResponses{300};
};

/** State of a graceful shutdown, which may not have been requested. */
struct Stop
{
    StopSettings m_settings;
    std::optional<std::chrono::steady_clock::time_point> m_requestedAt;
};

bool isStopping(const Stop &stop);

/** @returns whether requests of callers are accepted. */
bool servesCallers(const Stop &stop, std::chrono::steady_clock::time_point now);

/** @returns whether calls of other nodes are accepted. */
bool servesOthers(const Stop &stop, std::chrono::steady_clock::time_point now);

/**
 * Decides on a nested call of a running request. A call that cannot complete in time is refused,
 * because it would be aborted.
 * @param expected expected duration of the call, including its wait for a slot.
 */
bool servesNestedCall(const Stop &stop, std::chrono::nanoseconds expected,
                      std::chrono::steady_clock::time_point now);

/**
 * @returns the latest deadline of accepted work: backend servers end it by then, and their
 * responses still reach the callers. The maximum time point if no shutdown was requested.
 */
std::chrono::steady_clock::time_point latestDeadline(const Stop &stop);

/** @returns whether the remaining requests must be aborted. */
bool givesUp(const Stop &stop, std::chrono::steady_clock::time_point now);

/** @param busy whether requests or unsent responses are left. @returns whether the process may
 * exit. */
bool hasEnded(const Stop &stop, bool busy, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
