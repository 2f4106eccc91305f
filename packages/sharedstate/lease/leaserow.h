#pragma once

#include "sharedstate/store/rowvalue.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace chervilmount::sharedstate {

/** One incarnation of a node. */
struct NodeReference
{
    /** Failure domain and address, unique over the fleet. */
    std::string m_node;
    std::uint64_t m_incarnation = 0;

    bool operator==(const NodeReference &) const = default;
    bool operator<(const NodeReference &other) const
    {
        return std::tie(m_node, m_incarnation) < std::tie(other.m_node, other.m_incarnation);
    }
};

/** The value of a row `leases/<name>`. */
struct LeaseRow
{
    /** Incremented whenever the holder changes. */
    std::uint64_t m_epoch = 0;
    /** Absent if the lease is free. */
    std::optional<NodeReference> m_holder;
    /** Nodes that may take over; their promises extend the holder's right. */
    std::vector<NodeReference> m_successors;
    /** Identifies the write of this row. */
    Nonce m_nonce = 0;
    /** Number of renewals in this epoch. */
    std::uint64_t m_renewal = 0;
};

/** @returns the row name of a lease. */
std::string leaseRowName(const std::string &lease);

boost::json::object toValue(const LeaseRow &row);

LeaseRow parseLeaseRow(const boost::json::object &value);

} // namespace chervilmount::sharedstate
