#pragma once

#include "membership/member/nodeid.h"

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace chervilmount::membership {

/** Rings per failure domain: with 4, a node has up to 8 neighbours. */
constexpr std::size_t RingCount = 4;

/** Returns the position of a node on a ring. */
std::uint64_t ringPosition(std::size_t ring, NodeKey key);

/** The rings of one failure domain over its present members. */
class RingSet
{
public:
    /** Adds a member. @returns false if it was there. */
    bool insert(NodeKey key);

    /** Removes a member. @returns false if it was not there. */
    bool remove(NodeKey key);

    /**
     * Returns predecessor and successor of a node on each ring without duplicates, sorted by key.
     * The node need not be on the rings.
     */
    std::vector<NodeKey> neighboursOf(NodeKey key) const;

    /** Returns the number of members. */
    std::size_t size() const { return m_rings[0].size(); }

private:
    using Position = std::pair<std::uint64_t, NodeKey>;

    std::array<std::vector<Position>, RingCount> m_rings;
};

} // namespace chervilmount::membership
