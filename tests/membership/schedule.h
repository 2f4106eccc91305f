#pragma once

#include "membershipsimulation/simulation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::simulation {

/** Times stated for the protocol; the schedules assert them. */
struct StatedTimes
{
    /** From the end of all faults until all running nodes agree. */
    Milliseconds m_convergence{30000};
    /** Longest removal of a live node by one that can exchange messages with it. */
    Milliseconds m_removal{20000};
    /** From the begin of a graceful leave until every caller knows. */
    Milliseconds m_leaving{3000};
    /** From a crash until every node knows. */
    Milliseconds m_failure{20000};
};

/** Result of one schedule. */
struct ScheduleResult
{
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
    /** Longest times seen, for the record. */
    Milliseconds m_convergence{0};
    Milliseconds m_removal{0};
    Milliseconds m_leaving{0};
    Milliseconds m_failure{0};
};

/** Runs one random schedule of faults; everything follows from the seed. */
ScheduleResult runSchedule(std::uint64_t seed, membership::DisabledRule disabledRule, bool trace);

/** Returns the number of schedules to run: CHERVILMOUNT_SCHEDULES, or 10,000. */
std::uint64_t scheduleCount();

} // namespace chervilmount::simulation
