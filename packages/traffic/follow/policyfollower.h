#pragma once

#include <span>
#include <string>

namespace chervilmount::traffic {

/** A node of the own region that may poll the store for policy changes on behalf of the others. */
struct FollowerCandidate
{
    std::string m_node;
    /** The node is in contact with this node. */
    bool m_inContact = false;
    /** Its most recent calls to the store were answered. */
    bool m_reachesStore = false;
};

/**
 * Number of nodes per region that poll the store for policy changes; the others receive new
 * versions from them. Each long poll costs money and counts towards the store's rate limits, so in
 * a large fleet not every node can have one.
 */
constexpr std::size_t FollowersPerRegion = 3;

/**
 * Decides whether a node polls the store for policy changes itself. It does if it is among the
 * first FollowersPerRegion of its region in the order of the name hashes, or if it cannot reach the
 * store: only its own calls show when the store is reachable again.
 * @param others the other nodes of its region.
 */
bool shouldFollowPolicy(const FollowerCandidate &self, std::span<const FollowerCandidate> others);

} // namespace chervilmount::traffic
