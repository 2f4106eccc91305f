#pragma once

#include <chrono>
#include <cstddef>

namespace chervilmount::traffic {

/** Settings for requests that arrive before a node that has just started can decide about them. */
struct StartWaitSettings
{
    /** Maximum wait of a request. */
    std::chrono::milliseconds m_longest{300};
    /** Maximum wait as a fraction of the time that the caller waits for the response. */
    double m_deadlineShare = 0.25;
    /** Time after the start of the process from which requests no longer wait: a node that is not
     * ready by then will not be ready soon. */
    std::chrono::milliseconds m_startTime{1000};
    /** Maximum number of waiting requests; bounds the memory. */
    std::size_t m_requests = 500;
};

/**
 * Decides how long a request waits for a node that does not know the policy or the other nodes yet.
 * A refusal would use up one of the caller's few retries, although the node is ready within some
 * tens of milliseconds; callers return in numbers just then, since all of them have lost their
 * connections.
 * @param startedAt start of the process.
 * @param arrivedAt when the request arrived.
 * @param patience time that the caller waits for the response.
 * @returns the time at which the request is refused if the node is not ready by then; not later
 * than arrivedAt if it is to be refused at once.
 */
std::chrono::steady_clock::time_point
endOfStartWait(const StartWaitSettings &settings, std::chrono::steady_clock::time_point startedAt,
               std::chrono::steady_clock::time_point arrivedAt, std::chrono::milliseconds patience);

} // namespace chervilmount::traffic
