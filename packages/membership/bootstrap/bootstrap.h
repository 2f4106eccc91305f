#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/** Begins the search for other nodes. */
void startBootstrap(StepContext &context);

/**
 * Carries on: searches while no other node is known or heard, asks again for missing pages, looks
 * for seeds and peers outside the table, and rewrites the seed row this node is responsible for.
 */
void continueBootstrap(StepContext &context);

/** Contacts seeds, and writes a seed row if this domain has too few or stale ones. */
void receiveSeeds(StepContext &context, const SeedsRead &seeds);

/** Answers with one page of the table. */
void receiveTableRequest(StepContext &context, const NodeId &from, const TableRequest &request);

/** Takes in one page of the table and asks for the next one. */
void receiveTablePage(StepContext &context, const NodeId &from, const TablePage &page);

} // namespace chervilmount::membership
