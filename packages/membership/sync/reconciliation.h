#pragma once

#include "membership/step/stepcontext.h"

#include <cstdint>

namespace chervilmount::membership {

/** Returns the digest sent in heartbeats to the node: table, and views inside one domain. */
std::uint64_t comparedDigest(const MembershipState &state, const NodeId &to);

/**
 * Compares a peer's digest with the own one. A difference starts a digest exchange once the table
 * has been stable for 0.5 s, because digests always differ while a change spreads, and after 10 s
 * in any case.
 */
void compareDigest(StepContext &context, const NodeId &from, PeerLink &link, std::uint64_t digest);

/** Sends the summaries of all known failure domains. */
void sendDigest(StepContext &context, const NodeId &to, bool wantsAnswer);

/** Compares summaries; for each domain that differs, sends its bucket digests. */
void receiveDigest(StepContext &context, const NodeId &from, const MemberDigest &digest);

/** Compares bucket digests; sends the records of each bucket that differs. */
void receiveBuckets(StepContext &context, const NodeId &from, const MemberSyncBuckets &buckets);

/** Merges the records of a bucket and replies with those that are newer in the own table. */
void receiveRecords(StepContext &context, const NodeId &from, const MemberSyncRecords &records);

} // namespace chervilmount::membership
