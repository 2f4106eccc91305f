#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilmount::membership {

/** Identity of a node: it survives a restart at the same address. */
struct NodeId
{
    /** Empty only for a peer named in the settings whose failure domain is not known yet. */
    std::string m_failureDomain;
    /** IP number and port of the node's peer link, e.g. "10.1.2.3:7400". */
    std::string m_address;

    bool operator==(const NodeId &) const = default;
};

/**
 * 64-bit hash of a node id, used as its key in tables and messages. Two of 33,000 nodes share a key
 * with a probability of 3e-11; the later one would then replace the earlier one in the table.
 */
using NodeKey = std::uint64_t;

/** Returns the key of a node id. */
NodeKey keyOf(std::string_view failureDomain, std::string_view address);

/** @overload */
NodeKey keyOf(const NodeId &id);

} // namespace chervilmount::membership
