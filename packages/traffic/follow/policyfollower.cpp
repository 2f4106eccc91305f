#include "traffic/follow/policyfollower.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace chervilmount::traffic {

namespace {

std::pair<std::uint64_t, std::string_view> rankOf(const FollowerCandidate &candidate)
{
    const std::string &name = candidate.m_node;
    return {XXH3_64bits(name.data(), name.size()), name};
}

} // namespace

bool shouldFollowPolicy(const FollowerCandidate &self, std::span<const FollowerCandidate> others)
{
    if (!self.m_reachesStore)
        return true;
    const auto own = rankOf(self);
    const auto before =
            std::count_if(others.begin(), others.end(), [&own](const FollowerCandidate &other) {
                return other.m_inContact && other.m_reachesStore && rankOf(other) < own;
            });
    return static_cast<std::size_t>(before) < FollowersPerRegion;
}

} // namespace chervilmount::traffic
