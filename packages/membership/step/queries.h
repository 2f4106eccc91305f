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

/** Returns true unless the own failure domain has found the given one unreachable. */
bool isReachable(const MembershipState &state, const std::string &failureDomain);

/** Calls the function for each serving member of a reachable failure domain. */
void forEachRoutable(const MembershipState &state, std::chrono::steady_clock::time_point now,
                     const std::function<void(const MemberRecord &)> &visit);

/** Returns true if the node has the table of another node. */
bool hasJoined(const MembershipState &state);

/** Returns true if no peer has been heard from within the suspicion time. */
bool isIsolated(const MembershipState &state, std::chrono::steady_clock::time_point now);

/** Returns clock fields for a message (e.g. a freshness word) to a peer. */
LinkClock stampFor(const MembershipState &state, const NodeId &peer,
                   std::chrono::steady_clock::time_point now);

/** Returns an upper bound for the time that a message with these clock fields was on its way. */
std::optional<std::chrono::microseconds> transitBoundOf(const MembershipState &state,
                                                        const LinkClock &clock,
                                                        std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
