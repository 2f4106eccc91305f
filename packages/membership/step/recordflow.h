#pragma once

#include "membership/step/stepcontext.h"

#include <cstdint>
#include <string>

namespace chervilmount::membership {

/** Whether a newly learned record is passed on to the neighbours. */
enum class Flooding {
    Flood,
    KeepLocal,
};

/**
 * Takes a record into the table if it is newer than the known one. A record about the node itself
 * is answered with a newer one: the version is raised above a failure report, and the incarnation
 * above that of an earlier process at this address.
 * @param from node the record came from; 0 if this node decided it.
 */
void applyRecord(StepContext &context, const MemberRecord &record, NodeKey from,
                 Flooding flooding = Flooding::Flood);

/** Raises the version of the node's own record, stores it and floods it. */
void publishSelf(StepContext &context);

/** Computes the peers anew after a change of rings or bridges. */
void refreshPeers(StepContext &context);

/** Sends the collected changes to the neighbours and linked bridges. */
void flush(StepContext &context);

} // namespace chervilmount::membership
