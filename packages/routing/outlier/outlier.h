#pragma once

#include <chrono>

namespace chervilmount::routing {

/** Settings of the outlier ejection. */
struct OutlierSettings
{
    /** Failures in a row that eject a backend server. */
    int m_failuresInRow = 5;
    /** Timeouts in a row that eject a backend server; each has already cost a caller its deadline.
     */
    int m_timeoutsInRow = 2;
    std::chrono::nanoseconds m_firstEjection = std::chrono::seconds{1};
    /** With 30 s a recovered backend server stayed unused for up to 16 s. A longer ejection is not
     * needed, since only one call at a time tries the backend server afterwards. */
    std::chrono::nanoseconds m_longestEjection = std::chrono::seconds{2};
};

/** How an attempt ended, as far as it tells about the backend server's health. */
enum class AttemptResult {
    Success,
    /** Error, unproven refusal by the server or broken connection. */
    Failure,
    Timeout,
    /** Refused by the node's admission, failed further down or cancelled: tells nothing. */
    NotCounted
};

/** Failures of one backend server as seen by one caller node. */
struct OutlierState
{
    int m_failures = 0;
    int m_timeouts = 0;
    /** Ejections without a success in between; doubles the duration. */
    int m_ejections = 0;
    std::chrono::steady_clock::time_point m_ejectedUntil;
};

/** Takes the end of an attempt. @returns whether the backend server is to be ejected. */
bool recordAttempt(OutlierState &state, const OutlierSettings &settings, AttemptResult result);

/** Ejects the backend server; after the ejection one more failure ejects it again. */
void eject(OutlierState &state, const OutlierSettings &settings,
           std::chrono::steady_clock::time_point now);

/** @returns whether the backend server is ejected. */
bool isEjected(const OutlierState &state, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
