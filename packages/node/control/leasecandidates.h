#pragma once

#include "membership/membership.h"
#include "sharedstate/sharedstate.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Nodes that may hold each lease, in order of preference. Nodes with the same member table compute
 * the same candidates. */
using LeaseCandidates = std::map<std::string, std::vector<sharedstate::NodeReference>>;

/** Number of candidates for each lease. */
constexpr std::size_t CandidatesPerLease = 3;

/**
 * Ranks the serving members of each reachable failure domain by rendezvous hashing for each of its
 * rate leases. Computes one hash per member and lease, so it is called when the members change and
 * not for each request.
 */
LeaseCandidates rankLeaseCandidates(const membership::MembershipState &state,
                                    std::chrono::steady_clock::time_point now);

} // namespace chervilmount::node
