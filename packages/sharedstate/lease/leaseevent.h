#pragma once

#include "sharedstate/lease/leaserow.h"
#include "sharedstate/store/storeoperation.h"
#include "sharedstate/store/storeresult.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::sharedstate {

/** Time passes; to be sent at least every 250 ms. */
struct LeaseTick
{
};

/** Holder to successor: asks not to take over for the promise time. */
struct LeasePromiseRequest
{
    std::string m_lease;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_request = 0;
    NodeReference m_holder;
    /** The receiver answers only in this incarnation. */
    NodeReference m_successor;
};

/** Successor to holder: it does not take over for the promise time from sending this. */
struct LeasePromise
{
    std::string m_lease;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_request = 0;
    NodeReference m_holder;
    NodeReference m_successor;
    bool m_reachesStore = false;
};

using LeaseEvent = std::variant<LeaseTick, StoreResult, LeasePromiseRequest, LeasePromise>;

struct LeaseEffects
{
    std::vector<StoreRequest> m_store;
    /** Each goes to its m_successor. */
    std::vector<LeasePromiseRequest> m_promiseRequests;
    /** Each goes to its m_holder. */
    std::vector<LeasePromise> m_promises;
};

/** Breaks one rule each; set by tests only, to show that the checkers find it. */
struct LeaseFaults
{
    /** A holder acts without checking that its right has not ended. */
    bool m_skipRightCheck = false;
    /** A successor takes over although its promise has not ended. */
    bool m_ignorePromise = false;
    /** A successor promises while its own takeover write may apply. */
    bool m_promiseDuringTakeover = false;
    /** The right is counted from the response to a renewal. */
    bool m_rightFromResponse = false;
    /** Promises of one of two successors are enough. */
    bool m_acceptSinglePromise = false;
};

} // namespace chervilmount::sharedstate
