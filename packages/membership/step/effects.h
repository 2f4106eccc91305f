#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/message/payload.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::membership {

/** A message to another node. It may be lost, delayed, duplicated or reordered. */
struct Send
{
    NodeId m_to;
    Payload m_payload;
};

/** A changed member record in the table. */
struct MemberChange
{
    MemberRecord m_record;
    /** Empty for a node that was not known. */
    std::optional<MemberState> m_previousState;
};

/** Change of the reachability of another failure domain as a whole. */
struct DomainChange
{
    std::string m_failureDomain;
    bool m_reachable = true;
};

/** Operation on the table service. */
using StoreOperation = std::variant<ReadSeeds, WriteSeed>;

/** Actions that the node has to carry out after a step. */
struct Effects
{
    std::vector<Send> m_sends;
    std::vector<StoreOperation> m_storeOperations;
    std::vector<MemberChange> m_memberChanges;
    std::vector<DomainChange> m_domainChanges;
    /** Latest time of the next TimePassed event. */
    std::chrono::steady_clock::time_point m_wakeUpAt;
};

} // namespace chervilmount::membership
