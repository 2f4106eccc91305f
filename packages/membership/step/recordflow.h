#pragma once

#include "membership/step/stepcontext.h"

#include <cstdint>
#include <string>

namespace chervilmount::membership {

/** Whether a newly learned record is forwarded to the neighbours. */
enum class Flooding {
    Flood,
    KeepLocal,
};

/**
 * Stores a record in the table if it is newer than the known one. A newer record about the node
 * itself is refuted by publishing a still newer one: the version is raised above that of a failure
 * report, or the incarnation above that of an earlier process at this address.
 * @param from node from which the record was received; 0 if this node created it.
 */
void applyRecord(StepContext &context, const MemberRecord &record, NodeKey from,
                 Flooding flooding = Flooding::Flood);

/** Increments the version of the node's own record, stores it and floods it. */
void publishSelf(StepContext &context);

/** Recomputes the peers after a change of rings or bridges. */
void refreshPeers(StepContext &context);

/** Sends the batched changes to the neighbours and linked bridges. */
void flush(StepContext &context);

} // namespace chervilmount::membership
