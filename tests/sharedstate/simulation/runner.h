#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace chervilmount::simulation {

/** What a schedule's checker found. */
struct ScheduleResult
{
    /** Empty if the invariant held. */
    std::string m_violation;
    /** Trace of the schedule; empty unless it was traced. */
    std::string m_trace;
    /** Number of events that the invariant covers; a schedule without any proves nothing. */
    std::uint64_t m_observations = 0;
};

/** Runs the schedule of a seed, with or without a trace. */
using Schedule = std::function<ScheduleResult(std::uint64_t seed, bool traced)>;

/** @returns schedules per invariant: CHERVILMOUNT_SCHEDULES, or 10,000 (500 with sanitizers).
 */
int scheduleCount();

/**
 * Runs one slice of the schedules of an invariant with the seeds firstSeed, firstSeed + 1, ...,
 * and fails the test with a trace at the first violation.
 * @param slice number of the slice, from 0.
 * @param slices how many test cases share the schedules, so that ctest can run them in parallel.
 */
void checkSchedules(const std::string &name, std::uint64_t firstSeed, int slice, int slices,
                    const Schedule &schedule);

/**
 * Verifies that a checker can fail: runs schedules with an injected fault until one violates the
 * invariant.
 * @param limit number of schedules within which the checker must find a violation.
 */
void checkViolationFound(const std::string &brokenRule, std::uint64_t firstSeed, int limit,
                         const Schedule &schedule);

} // namespace chervilmount::simulation
