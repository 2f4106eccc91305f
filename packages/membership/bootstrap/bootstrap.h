#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/** Starts the discovery of other nodes. */
void startBootstrap(StepContext &context);

/**
 * Continues bootstrap: searches while no other node is known or heard, retries requests for missing
 * pages, checks for seeds and configured peers that are missing from the table, and rewrites the
 * seed row this node is responsible for.
 */
void continueBootstrap(StepContext &context);

/** Contacts seeds, and writes a seed row if this domain has too few or stale ones. */
void receiveSeeds(StepContext &context, const SeedsRead &seeds);

/** Answers with one page of the table. */
void receiveTableRequest(StepContext &context, const NodeId &from, const TableRequest &request);

/** Merges one page of the table and requests the next one. */
void receiveTablePage(StepContext &context, const NodeId &from, const TablePage &page);

} // namespace chervilmount::membership
