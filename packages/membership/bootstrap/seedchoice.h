#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/step/stepcontext.h"

#include <optional>
#include <vector>

namespace chervilmount::membership {

/**
 * Chooses the seeds to contact.
 * @param searching true if the node has joined nobody: it asks a few seeds, of its own domain
 * first. Otherwise it asks only seeds that are not in its table, to join two separate parts.
 */
std::vector<NodeId> chooseSeeds(StepContext &context, const std::vector<SeedRow> &rows,
                                bool searching);

/**
 * Chooses a seed row to write, if any: a free one, or one whose node has ended or never answered.
 * Nodes that have a domain's table act at random, so that about one of them writes.
 */
std::optional<WriteSeed> chooseSeedWrite(StepContext &context, const std::vector<SeedRow> &rows);

} // namespace chervilmount::membership
