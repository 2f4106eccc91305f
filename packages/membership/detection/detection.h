#pragma once

#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/** Reports silent neighbours as suspect and marks those as failed on which enough observers agree.
 */
void checkNeighbours(StepContext &context);

/** Repeats the reports about suspects to the other observers and to the suspects. */
void sendReports(StepContext &context);

/** Handles another observer's report. */
void receiveReport(StepContext &context, const NodeId &from, const SuspicionReport &report);

/**
 * Moves the last-heard times forward after the process was paused for the given time, so that it
 * does not suspect its peers because of its own pause.
 */
void compensatePause(StepContext &context, std::chrono::steady_clock::duration pause);

} // namespace chervilmount::membership
