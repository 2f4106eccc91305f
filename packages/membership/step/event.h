#pragma once

#include "membership/bootstrap/seedrow.h"
#include "membership/message/payload.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

namespace chervilmount::membership {

/** First event of a node. */
struct Started
{
};

/** Time has passed; sent at the latest at Effects::m_wakeUpAt. */
struct TimePassed
{
};

/** A message has arrived. */
struct MessageReceived
{
    NodeId m_from;
    Payload m_payload;
};

/** The backend server beside the node has announced itself or changed. */
struct BackendAnnounced
{
    std::string m_service;
    std::uint32_t m_slots = 0;
};

/** The backend server beside the node is gone; the node itself stays. */
struct BackendLost
{
};

/** Begin of a graceful shutdown: the node takes no new work. */
struct LeaveStarted
{
};

/** End of a graceful shutdown: the process ends after the effects have been carried out. */
struct LeaveFinished
{
};

/** The node has become or ceased to be the one that rewrites a seed row (a group holder). */
struct SeedDutyChanged
{
    /** Index of the row in the node's own failure domain. */
    std::optional<std::size_t> m_row;
};

/** Everything that can happen to a node's membership. */
using Event = std::variant<Started, TimePassed, MessageReceived, BackendAnnounced, BackendLost,
                           LeaveStarted, LeaveFinished, SeedDutyChanged, SeedsRead>;

} // namespace chervilmount::membership
