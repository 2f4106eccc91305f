#pragma once

#include "traffic/placement/relativehold.h"

#include <chrono>

namespace chervilmount::traffic {

/**
 * Compares the runs that end at one backend server with those that should end. Hold times are
 * recorded only when runs end, so that a backend server which turns slow keeps its good record
 * until the first runs reach their deadlines; the runs that do not end show it within some tenths
 * of a second. By Little's law the expected completions, the sum over the runs in progress of their
 * time in units of the expected hold time, equal the actual ones while the pace is unchanged.
 */
struct CompletionMeter
{
    /** Expected and actual completions, with exponential decay over AveragingTime. @{ */
    double m_expected = 0.0;
    double m_completed = 0.0;
    /** @} */
    /** Completions per second that the runs in progress should yield. */
    double m_rate = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;

    static constexpr std::chrono::milliseconds AveragingTime{500};
};

/** Adds a run in progress.
 * @param expected average hold time of the run's route at all backend servers; the run is not
 * counted unless it is positive. */
void startMeteredRun(CompletionMeter &meter, std::chrono::duration<double> expected,
                     std::chrono::steady_clock::time_point now);

/**
 * Removes a run in progress.
 * @param expected the value that was passed to startMeteredRun().
 * @param lasted time since then.
 * @param served false if the run failed; one that failed early does not count.
 */
void endMeteredRun(CompletionMeter &meter, std::chrono::duration<double> expected,
                   std::chrono::duration<double> lasted, bool served,
                   std::chrono::steady_clock::time_point now);

/** @returns whether far fewer runs have ended lately than expected. That is also so when work
 * begins to arrive at an idle backend server, so the runs in progress decide. */
bool completesTooFew(const RelativeHold &relative, CompletionMeter meter,
                     std::chrono::steady_clock::time_point now);

/**
 * @param longestRun age of the oldest run in progress, in units of its expected hold time.
 * @returns the relative hold time, raised if far fewer runs have ended lately than expected and one
 * is overdue; 0 if unknown.
 */
double currentRelativeHold(const RelativeHold &relative, CompletionMeter meter, double longestRun,
                           std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
