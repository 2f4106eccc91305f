#pragma once

#include <span>
#include <string>

namespace chervilmount::traffic {

/** A node of the own region that may follow the operators' policy at the store for the others. */
struct FollowerCandidate
{
    std::string m_node;
    /** It is in touch with this node. */
    bool m_fresh = false;
    /** Its last calls to the store were answered. */
    bool m_reachesStore = false;
};

/**
 * Nodes of a region that follow the policy at the store; the others hear of new versions from them.
 * Each waiting call for changes is paid for and counts towards the store's rates, so that not every
 * node of a large fleet can have one.
 */
constexpr std::size_t FollowersPerRegion = 3;

/**
 * Decides whether a node follows the policy at the store itself. It does if it is among the first
 * of its region, by a hash of the names, or if it cannot reach the store: then only its own calls
 * tell when it can again.
 * @param others the other nodes of its region.
 */
bool shouldFollowPolicy(const FollowerCandidate &self, std::span<const FollowerCandidate> others);

} // namespace chervilmount::traffic
