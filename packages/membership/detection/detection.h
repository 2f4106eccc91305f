#pragma once

#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/** Reports silent neighbours as suspect and fails those on which enough observers agree. */
void checkNeighbours(StepContext &context);

/** Repeats the reports about suspects to the other observers and to the suspects. */
void sendReports(StepContext &context);

/** Takes in another observer's report. */
void receiveReport(StepContext &context, const NodeId &from, const SuspicionReport &report);

/**
 * Moves all times of hearing forward after the process was stopped for the given time, so that it
 * does not blame its peers for its own pause.
 */
void forgivePause(StepContext &context, std::chrono::steady_clock::duration pause);

} // namespace chervilmount::membership
