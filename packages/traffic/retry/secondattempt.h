#pragma once

#include <chrono>

namespace chervilmount::traffic {

/** Settings of second attempts beside one that still runs. */
struct SecondAttemptSettings
{
    bool m_enabled = true;
    /** Relative hold time from which a backend server is doubtful. */
    double m_slowHold = 3.0;
    /** Age from which an attempt at such a backend server is doubtful, in units of the expected
     * hold time. */
    double m_slowAge = 1.5;
    /** Hold time of another backend server, relative to that of this one, with which it is worth
     * trying. */
    double m_fasterHold = 0.5;
};

/** An attempt that has not been answered. */
struct RunningAttempt
{
    std::chrono::duration<double> m_age{0.0};
    /** Average hold time of the route over all backend servers; 0 if unknown. */
    std::chrono::duration<double> m_expectedHold{0.0};
    /** Hold time at the backend server relative to all; 0 if unknown. */
    double m_relativeHold = 0.0;
    /** Lowest relative hold time of the other backend servers of the service; 0 if unknown. */
    double m_otherRelativeHold = 0.0;
    /** The node beside the backend server has not sent its statuses. */
    bool m_isSilent = false;
};

/**
 * @returns whether the attempt is likely not to be answered in time: its node is silent, or its
 * backend server has turned slow while another one has not. An idempotent request may then be sent
 * to another one as well; the first attempt goes on, since a silent node may only be slow to
 * report.
 * @see Dean, Barroso: The tail at scale (2013), on hedged requests
 */
bool isDoubtful(const SecondAttemptSettings &settings, const RunningAttempt &attempt);

} // namespace chervilmount::traffic
