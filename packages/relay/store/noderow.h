#pragma once

#include "relay/frames/frames.h"
#include "relay/store/sharedstore.h"
#include "traffic/instance/instanceregister.h"

#include <optional>
#include <vector>

namespace chervilmount::relay {

/** Table of the node rows. */
constexpr const char *NodeTable = "chervilmount-nodes";

/** What a node keeps in the store: how others find it, and what it has promised. */
struct NodeRow
{
    NodeRecord m_record;
    /** Backend servers beside it that have said that they leave. */
    std::vector<traffic::DepartedInstance> m_departed;
    /** What runs beside it were seen to do, so that a fleet that starts anew need not learn it
     * under load. */
    traffic::CallProfile m_profile;
};

/** @returns the row as it is stored. */
StoreRow toStoreRow(const NodeRow &row);

/** @returns the node row, or nothing if the stored row cannot be read. */
std::optional<NodeRow> parseNodeRow(const StoreRow &row);

} // namespace chervilmount::relay
