#include "traffic/follow/policyfollower.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilmount::traffic;

namespace {

/** Nodes of one region that are all in contact with each other and with the store. */
std::vector<FollowerCandidate> region(int nodes)
{
    std::vector<FollowerCandidate> result;
    for (int node = 0; node < nodes; ++node)
        result.push_back({"node-" + std::to_string(node), true, true});
    return result;
}

std::vector<std::size_t> followersOf(const std::vector<FollowerCandidate> &nodes)
{
    std::vector<std::size_t> followers;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        std::vector<FollowerCandidate> others = nodes;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        if (shouldFollowPolicy(nodes[index], others))
            followers.push_back(index);
    }
    return followers;
}

} // namespace

// Guards against polling the store from every node, which exceeds the store's rate limits in a
// large fleet.
TEST_CASE("Three nodes of a region follow the policy, however many there are")
{
    CHECK(followersOf(region(1)).size() == 1);
    CHECK(followersOf(region(2)).size() == 2);
    CHECK(followersOf(region(300)).size() == 3);
}

// Guards against a region that misses new versions because its followers have failed.
TEST_CASE("Followers that are lost or turned away by the store are replaced")
{
    std::vector<FollowerCandidate> nodes = region(20);
    const std::vector<std::size_t> before = followersOf(nodes);
    nodes[before[0]].m_inContact = false;
    nodes[before[1]].m_reachesStore = false;
    std::size_t working = 0;
    for (const std::size_t follower : followersOf(nodes))
        working += nodes[follower].m_inContact && nodes[follower].m_reachesStore ? 1 : 0;
    CHECK(working == 3);
}

// Guards against a node that stops polling after one failed call to the store.
TEST_CASE("A node that cannot reach the store goes on trying")
{
    CHECK(shouldFollowPolicy({"node-0", true, false}, region(300)));
}
