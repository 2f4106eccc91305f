#pragma once

#include "sharedstate/lease/leaserow.h"
#include "sharedstate/store/storeoperation.h"
#include "sharedstate/store/storeresult.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::sharedstate {

/** Timer event; to be sent at least every 250 ms. */
struct LeaseTick
{
};

/** From the lease holder to a successor: asks it not to take over for the promise time. */
struct LeasePromiseRequest
{
    std::string m_lease;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_request = 0;
    NodeReference m_holder;
    /** The receiver replies only if it is still in this incarnation. */
    NodeReference m_successor;
};

/** From a successor to the holder: it will not take over for the promise time after sending this.
 */
struct LeasePromise
{
    std::string m_lease;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_request = 0;
    NodeReference m_holder;
    NodeReference m_successor;
    /** Whether the successor has recently received a response from the store. */
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

/** Faults that tests inject to verify that the checkers detect them; never set in production. */
struct LeaseFaults
{
    /** A holder acts without checking that its right has not expired. */
    bool m_skipRightCheck = false;
    /** A successor takes over before its promise has expired. */
    bool m_ignorePromise = false;
    /** A successor gives a promise while its own takeover write may still apply. */
    bool m_promiseDuringTakeover = false;
    /** The right is counted from the response to a renewal instead of from its request. */
    bool m_rightFromResponse = false;
    /** The promise of one of two successors is taken as sufficient. */
    bool m_acceptSinglePromise = false;
};

} // namespace chervilmount::sharedstate
