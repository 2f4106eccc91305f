#pragma once

#include <chrono>

namespace chervilmount::routing {

/** Settings of outlier detection. */
struct OutlierSettings
{
    /** Consecutive failures after which a backend server is ejected. */
    int m_failuresInRow = 5;
    /** Consecutive timeouts after which a backend server is ejected; fewer, because each one has
     * cost a caller its deadline. */
    int m_timeoutsInRow = 2;
    std::chrono::nanoseconds m_firstEjection = std::chrono::seconds{1};
    /** With 30 s a recovered backend server stayed unused for up to 16 s. A longer ejection is not
     * needed, because afterwards calls are sent one at a time until one succeeds. */
    std::chrono::nanoseconds m_longestEjection = std::chrono::seconds{2};
};

/** Result of an attempt, as a signal of the backend server's health. */
enum class AttemptResult {
    Success,
    /** Error, unproven refusal by the server or broken connection. */
    Failure,
    Timeout,
    /** Refused by the node's admission, failed further down or cancelled; ignored. */
    NotCounted
};

/** Failures of one backend server as seen by one calling node. */
struct OutlierState
{
    int m_failures = 0;
    int m_timeouts = 0;
    /** Consecutive ejections without a success; each doubles the duration. */
    int m_ejections = 0;
    std::chrono::steady_clock::time_point m_ejectedUntil;
};

/** Records the end of an attempt. @returns whether the backend server is to be ejected. */
bool recordAttempt(OutlierState &state, const OutlierSettings &settings, AttemptResult result);

/** Ejects the backend server; after the ejection a single failure ejects it again. */
void eject(OutlierState &state, const OutlierSettings &settings,
           std::chrono::steady_clock::time_point now);

/** @returns whether the backend server is ejected. */
bool isEjected(const OutlierState &state, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
