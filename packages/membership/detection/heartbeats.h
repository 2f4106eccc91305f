#pragma once

#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/**
 * Sends a heartbeat to each peer. A node that hears none of its peers also probes a few other
 * members and bridges of the other failure domains: a reply shows that the peers have failed and
 * not its own connection.
 */
void sendHeartbeats(StepContext &context);

/** Sends one heartbeat to a node. */
void sendHeartbeat(StepContext &context, const NodeId &to, bool isReply);

/** Handles a heartbeat; exchanges records or digests if the sender's record or digest differs. */
void receiveHeartbeat(StepContext &context, const NodeId &from, const Heartbeat &heartbeat);

/** Probes one random failed member of the own domain, so that a healed partition is detected. */
void retryFailedMember(StepContext &context);

/** Removes links to nodes that are not peers and have been silent. */
void removeIdleLinks(StepContext &context);

} // namespace chervilmount::membership
