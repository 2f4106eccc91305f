#pragma once

#include "membership/detection/suspicion.h"
#include "membership/link/linkclock.h"
#include "membership/message/payload.h"
#include "membership/ring/bridgeset.h"
#include "membership/ring/ringset.h"
#include "membership/step/membershipsettings.h"
#include "membership/table/membertable.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::membership {

/** State of the link to a node with which heartbeats are exchanged. */
struct PeerLink
{
    using TimePoint = std::chrono::steady_clock::time_point;

    PeerClock m_clock;
    /** When the peer was last heard from, or when the link was added. */
    TimePoint m_heardAt;
    /** True once a heartbeat has arrived. */
    bool m_heard = false;
    /** Silence after which this peer is suspected; doubled whenever it refutes a suspicion. */
    std::chrono::milliseconds m_suspectAfter{0};
    TimePoint m_repliedAt{};
    TimePoint m_digestSentAt{};
    /** Failure domains that this peer reports as unreachable; empty unless it is a bridge. */
    std::vector<std::string> m_unreachableDomains;
};

/** Roles a peer has for this node. */
struct PeerRole
{
    bool m_neighbour = false;
    bool m_remoteBridge = false;
    bool m_coBridge = false;
};

/** State of this node's view of another failure domain. */
struct DomainWatch
{
    using TimePoint = std::chrono::steady_clock::time_point;

    DomainView m_view;
    /** When a member of that domain was last heard from. */
    TimePoint m_heardAt;
    /** Since when the domain has been heard without a gap; used while it is unreachable. */
    TimePoint m_heardSince;
    /** True once the domain's digest has matched this node's since contact was restored. */
    bool m_digestsEqual = false;
};

/** A table transfer in progress. */
struct TableTransfer
{
    std::uint32_t m_page = 0;
    std::uint32_t m_pages = 0;
    std::chrono::steady_clock::time_point m_requestedAt;
    int m_attempts = 0;
};

/** State of node discovery. */
struct Bootstrap
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::optional<TableTransfer> m_transfer;
    /** True after a request whose first page may start a transfer. */
    bool m_wantsTransfer = false;
    /** True once the whole table was received from some node. */
    bool m_transferred = false;
    TimePoint m_searchAt{};
    std::chrono::milliseconds m_searchDelay{0};
    int m_searches = 0;
    TimePoint m_seedCheckAt{};
    TimePoint m_seedWriteAt{};
    std::optional<std::size_t> m_seedRow;
    TimePoint m_startedAt{};
};

/** A changed record that has not been flooded yet. */
struct PendingRecord
{
    NodeKey m_key = 0;
    /** Node from which it was received and to which it is not sent back; 0 for own changes. */
    NodeKey m_from = 0;
};

/** Membership state of one node. */
struct MembershipState
{
    using TimePoint = std::chrono::steady_clock::time_point;

    MembershipSettings m_settings;
    MemberRecord m_self;
    NodeKey m_selfKey = 0;

    MemberTable m_table;
    /** Rings of the node's own failure domain. */
    RingSet m_rings;
    BridgeSet m_bridges;
    /** Current peers with their roles; derived from rings and bridges. */
    std::map<NodeKey, PeerRole> m_peers;
    /** Links to peers, and to other nodes that have sent a heartbeat recently. */
    std::map<NodeKey, PeerLink> m_links;
    std::map<NodeKey, Suspicion> m_suspicions;
    std::map<std::string, DomainWatch> m_domains;

    std::vector<PendingRecord> m_pendingRecords;
    std::vector<std::string> m_pendingViews;
    TimePoint m_flushAt{};
    TimePoint m_heartbeatAt{};
    TimePoint m_checkedAt{};
    /** Time of the previous step; a long gap indicates that the process was paused. */
    TimePoint m_steppedAt{};
    TimePoint m_retryFailedAt{};
    TimePoint m_expireAt{};
    /** When the table last changed; digests are compared once it has been stable. */
    TimePoint m_changedAt{};

    Bootstrap m_bootstrap;
};

/**
 * Returns the initial state of a node.
 * @param incarnation start time in milliseconds since the epoch.
 */
MembershipState makeState(MembershipSettings settings, NodeId id, std::uint64_t incarnation);

} // namespace chervilmount::membership
