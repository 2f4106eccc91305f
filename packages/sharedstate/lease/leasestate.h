#pragma once

#include "sharedstate/lease/leaserow.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Timing of the lease protocol. */
struct LeaseSettings
{
    /** Lease duration T: a holder without promises keeps its right this long after a renewal. */
    std::chrono::milliseconds m_leaseTime{10000};
    std::chrono::milliseconds m_renewalInterval{3000};
    /** A promise is valid this long after the request for it was sent. */
    std::chrono::milliseconds m_promiseTime{3000};
    /** Promises are requested once the last renewal is older than this. */
    std::chrono::milliseconds m_promiseAfter{4500};
    std::chrono::milliseconds m_promiseInterval{1000};
    /** M: the longest time after the last renewal for which promises extend a holder's right. */
    std::chrono::milliseconds m_longestOutage{1800000};
    /** How often a named successor reads the row. */
    std::chrono::milliseconds m_successorReadInterval{1000};
    /** How often another candidate reads the row. */
    std::chrono::milliseconds m_candidateReadInterval{5000};
    /** Delay between successive named successors before each takes a free row. */
    std::chrono::milliseconds m_successorStagger{1000};
    /** Pause before a write with unknown result is repeated. */
    std::chrono::milliseconds m_writeRetryInterval{1000};
    std::chrono::milliseconds m_storeTimeout{1000};
    /** A holder considers the store unreachable after this long without a response. */
    std::chrono::milliseconds m_storeUnreachableTime{5000};
    /**
     * A successor considers the store reachable if it received a response within this time. It is
     * shorter than m_storeUnreachableTime - m_renewalInterval, so that in an outage of the whole
     * store no successor still reports it as reachable by the time a holder asks.
     */
    std::chrono::milliseconds m_storeReachableTime{1500};
    /** Fraction of each period reserved for clock drift; clock rates differ by up to 0.05 %. */
    double m_clockMargin = 0.01;
};

/** A write of the row whose outcome is not known yet. */
struct LeaseWrite
{
    LeaseRow m_row;
    /** Time before the first request with this row was sent. */
    std::chrono::steady_clock::time_point m_firstSent;
    /** Requests that may still apply; the same row may be sent several times. */
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_requests;
    /** A request got no response, so the row may still appear until the revision changes. */
    bool m_unknown = false;
};

/** A promise as recorded by the holder. */
struct SuccessorPromise
{
    std::chrono::steady_clock::time_point m_until;
    bool m_reachesStore = false;
};

/** State of one lease at one node. */
struct LeaseState
{
    LeaseSettings m_settings;
    std::string m_name;
    NodeReference m_self;
    /** Set by the node from its member table: whether it may take the lease. */
    bool m_candidate = false;
    /**
     * Set by the node: a free or absent row is taken only after it has been observed for this long.
     * Different delays per candidate spread the leases of a domain evenly over its nodes.
     */
    std::chrono::milliseconds m_candidateDelay{0};
    /** Set by the node from its member table: up to 2 other serving nodes, best first. */
    std::vector<NodeReference> m_preferredSuccessors;
    bool m_leaving = false;

    std::uint64_t m_nextRequest = 1;
    /** The newest row that was read or written; absent before the first read or if no row exists.
     */
    std::optional<LeaseRow> m_row;
    /** Revision of m_row; 0 if no row exists. */
    std::uint64_t m_revision = 0;
    /** Whether the store has ever responded to a read or write. */
    bool m_observed = false;
    /** When the current row, or its absence, was first observed. */
    std::chrono::steady_clock::time_point m_firstSeen;
    std::chrono::steady_clock::time_point m_lastStoreContact;
    std::chrono::steady_clock::time_point m_nextRead;
    std::uint64_t m_readRequest = 0;
    std::optional<LeaseWrite> m_write;
    std::chrono::steady_clock::time_point m_nextWrite;

    bool m_holding = false;
    /** When the last successful renewal was sent; the holder's right is counted from here. */
    std::chrono::steady_clock::time_point m_rightBase;
    std::map<NodeReference, SuccessorPromise> m_promises;
    /** When each open promise request was sent. */
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_promiseRequests;
    std::chrono::steady_clock::time_point m_nextPromiseRequest;

    /** End of this node's last promise as a successor. */
    std::chrono::steady_clock::time_point m_promisedUntil;
};

} // namespace chervilmount::sharedstate
