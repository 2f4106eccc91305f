#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/step/stepcontext.h"

#include <optional>
#include <vector>

namespace chervilmount::membership {

/**
 * Chooses the seeds to contact.
 * @param searching true if the node knows or hears no other node: it contacts a few seeds of each
 * kind, more of its own domain. Otherwise it contacts only seeds that are missing from its table,
 * to merge two separate partitions.
 */
std::vector<NodeId> chooseSeeds(StepContext &context, const std::vector<SeedRow> &rows,
                                bool searching);

/**
 * Chooses a seed row to write, if any: a free one, or one whose node has ended or never answered.
 * Nodes that have the domain's table take a free row only at random, so that few write at once.
 */
std::optional<WriteSeed> chooseSeedWrite(StepContext &context, const std::vector<SeedRow> &rows);

} // namespace chervilmount::membership
