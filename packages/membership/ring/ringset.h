#pragma once

#include "membership/member/nodeid.h"

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace chervilmount::membership {

/** Rings per failure domain: with 4, a node has up to 8 neighbours. */
constexpr std::size_t RingCount = 4;

/** Predecessor and successor on each ring. */
constexpr std::size_t MaximumNeighbours = 2 * RingCount;

/** Returns the position of a node on a ring. */
std::uint64_t ringPosition(std::size_t ring, NodeKey key);

/** The rings of one failure domain over its present members. */
class RingSet
{
public:
    /** Adds a member. @returns false if it was already present. */
    bool insert(NodeKey key);

    /** Removes a member. @returns false if it was not present. */
    bool remove(NodeKey key);

    /**
     * Returns predecessor and successor of a node on each ring without duplicates, sorted by key.
     * In a domain of up to 9 members all others are neighbours: with rings only, two survivors of
     * six may have no observer in common, so that detection takes several rounds.
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
