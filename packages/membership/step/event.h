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

/** The backend server beside the node is gone; the node itself remains a member. */
struct BackendLost
{
};

/** Start of a graceful shutdown: the node accepts no new work. */
struct LeaveStarted
{
};

/** End of a graceful shutdown: the process ends after the effects have been carried out. */
struct LeaveFinished
{
};

/** The node has started or stopped being responsible for refreshing a seed row (a group holder). */
struct SeedDutyChanged
{
    /** Index of the row in the node's own failure domain. */
    std::optional<std::size_t> m_row;
};

/** Any input of the membership protocol. */
using Event = std::variant<Started, TimePassed, MessageReceived, BackendAnnounced, BackendLost,
                           LeaveStarted, LeaveFinished, SeedDutyChanged, SeedsRead>;

} // namespace chervilmount::membership
