#pragma once

#include "membership/step/membershipstate.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::membership {

/** Returns the nodes to which flooded items are sent: ring neighbours and linked remote bridges. */
std::vector<NodeId> floodTargets(const MembershipState &state);

/** Returns true unless the own failure domain considers the given one unreachable. */
bool isReachable(const MembershipState &state, const std::string &failureDomain);

/** Calls the function for each serving member of a reachable failure domain. */
void forEachRoutable(const MembershipState &state, std::chrono::steady_clock::time_point now,
                     const std::function<void(const MemberRecord &)> &visit);

/** Returns true once the node has received the complete table of another node. */
bool hasJoined(const MembershipState &state);

/** Returns true if no other node has been heard from within the suspicion time. */
bool isIsolated(const MembershipState &state, std::chrono::steady_clock::time_point now);

/** Returns clock fields for a message (e.g. a freshness attestation) to a peer. */
LinkClock stampFor(const MembershipState &state, const NodeId &peer,
                   std::chrono::steady_clock::time_point now);

/** Returns an upper bound of the transit time of a message with these clock fields. */
std::optional<std::chrono::microseconds> transitBoundOf(const MembershipState &state,
                                                        const LinkClock &clock,
                                                        std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
