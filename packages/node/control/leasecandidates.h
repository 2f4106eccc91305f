#pragma once

#include "membership/membership.h"
#include "sharedstate/sharedstate.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Nodes that may hold a lease, best first; all nodes with the same member table agree on it. */
using LeaseCandidates = std::map<std::string, std::vector<sharedstate::NodeReference>>;

/** Candidates for each lease. */
constexpr std::size_t CandidatesPerLease = 3;

/**
 * Ranks the serving members of each reachable failure domain by rendezvous hashing for each of its
 * rate leases. Costs one hash per member and lease, so it is called per change of the members and
 * not per request.
 */
LeaseCandidates rankLeaseCandidates(const membership::MembershipState &state,
                                    std::chrono::steady_clock::time_point now);

} // namespace chervilmount::node
