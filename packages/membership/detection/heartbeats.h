#pragma once

#include "membership/step/stepcontext.h"

namespace chervilmount::membership {

/** Sends a heartbeat to each peer. */
void sendHeartbeats(StepContext &context);

/** Sends one heartbeat to a node. */
void sendHeartbeat(StepContext &context, const NodeId &to, bool isReply);

/** Takes in a heartbeat; answers differences in what both know about the sender and in digests. */
void receiveHeartbeat(StepContext &context, const NodeId &from, const Heartbeat &heartbeat);

/** Sends a heartbeat to one random failed member of the own domain, so that a healed cut is found.
 */
void retryFailedMember(StepContext &context);

/** Forgets links to nodes that are no peers and have been silent. */
void removeIdleLinks(StepContext &context);

} // namespace chervilmount::membership
