#include "membership/ring/ringset.h"

#include <algorithm>
#include <xxhash.h>

namespace chervilmount::membership {

std::uint64_t ringPosition(std::size_t ring, NodeKey key)
{
    return XXH3_64bits_withSeed(&key, sizeof(key), ring + 1);
}

bool RingSet::insert(NodeKey key)
{
    for (std::size_t ring = 0; ring < RingCount; ++ring) {
        const Position position{ringPosition(ring, key), key};
        std::vector<Position> &members = m_rings[ring];
        const auto place = std::lower_bound(members.begin(), members.end(), position);
        if (place != members.end() && *place == position)
            return false;
        members.insert(place, position);
    }
    return true;
}

bool RingSet::remove(NodeKey key)
{
    for (std::size_t ring = 0; ring < RingCount; ++ring) {
        const Position position{ringPosition(ring, key), key};
        std::vector<Position> &members = m_rings[ring];
        const auto place = std::lower_bound(members.begin(), members.end(), position);
        if (place == members.end() || *place != position)
            return false;
        members.erase(place);
    }
    return true;
}

std::vector<NodeKey> RingSet::neighboursOf(NodeKey key) const
{
    std::vector<NodeKey> neighbours;
    for (std::size_t ring = 0; ring < RingCount; ++ring) {
        const std::vector<Position> &members = m_rings[ring];
        if (members.empty())
            continue;
        const Position position{ringPosition(ring, key), key};
        auto place = std::lower_bound(members.begin(), members.end(), position);
        neighbours.push_back((place == members.begin() ? members.back() : *(place - 1)).second);
        if (place != members.end() && *place == position)
            ++place;
        neighbours.push_back((place == members.end() ? members.front() : *place).second);
    }
    std::sort(neighbours.begin(), neighbours.end());
    neighbours.erase(std::unique(neighbours.begin(), neighbours.end()), neighbours.end());
    std::erase(neighbours, key);
    return neighbours;
}

} // namespace chervilmount::membership
