#pragma once

#include <chrono>

namespace chervilmount::traffic {

/**
 * How long runs hold a slot of one backend server, relative to runs of the same routes at all
 * backend servers. Unlike the plain average it does not depend on the mix of routes, which
 * differs between backend servers as soon as they are chosen by it.
 */
struct RelativeHold
{
    /** 1 is as fast as all on average; 0 until known. */
    double m_value = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/**
 * Takes the end of a run. After a pause a run counts more, so that a value from the past does not
 * keep requests away for long.
 * @param hold time for which the run held its slot.
 * @param expected the average for the run's route at all backend servers; ignored if not positive.
 */
void recordHold(RelativeHold &relative, std::chrono::duration<double> hold,
                std::chrono::duration<double> expected, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
