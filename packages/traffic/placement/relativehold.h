#pragma once

#include <chrono>

namespace chervilmount::traffic {

/**
 * Moving average of the time that runs hold a slot of one backend server, relative to runs of the
 * same routes at all backend servers. Unlike the absolute hold time it does not depend on the mix
 * of routes, which differs between backend servers as soon as load balancing depends on hold times.
 */
struct RelativeHold
{
    /** 1 is the average of all backend servers; 0 until known. */
    double m_value = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/**
 * Records the end of a run. After a pause one run has a higher weight, so that an outdated value
 * does not divert requests for long.
 * @param hold time for which the run held its slot.
 * @param expected average hold time of the run's route at all backend servers; the run is ignored
 * unless it is positive.
 */
void recordHold(RelativeHold &relative, std::chrono::duration<double> hold,
                std::chrono::duration<double> expected, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
