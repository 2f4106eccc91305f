#pragma once

#include "relay/frames/frames.h"
#include "relay/store/sharedstore.h"
#include "traffic/instance/instanceregister.h"

#include <optional>
#include <vector>

namespace chervilmount::relay {

/** Name of the table with one row for each node. */
constexpr const char *NodeTable = "chervilmount-nodes";

/** Data that a node persists in the store: its address for other nodes, and state that has to
 * survive a restart. */
struct NodeRow
{
    NodeRecord m_record;
    /** Local backend servers whose departure was acknowledged. */
    std::vector<traffic::DepartedInstance> m_departed;
    /** Observed call profile; restored so that a restarted fleet does not have to observe it anew
     * under load. */
    traffic::CallProfile m_profile;
    /** All nodes that take part in the organisations' rates count this one. */
    bool m_isEstablished = false;
    /** Wall-clock time of the node's planned stop; 0 if it has not stopped. */
    std::chrono::milliseconds m_stoppedAt{0};
};

/** @returns the row in its stored form, with version 0. */
StoreRow toStoreRow(const NodeRow &row);

/** Names what parseNodeRow() accepts, for rows that it does not. */
constexpr const char *UnreadableNodeRow =
        "not a node's row; accepted are an address ip:port with a port from 1 to 65535, "
        "failureDomain, region and startedAtMilliseconds from 0 to 253402300799999";

/**
 * Reads a row, which another writer may have left. Departures and routes of the profile that are
 * malformed or out of range are omitted.
 * @returns nothing if the row cannot be read.
 */
std::optional<NodeRow> parseNodeRow(const StoreRow &row);

} // namespace chervilmount::relay
