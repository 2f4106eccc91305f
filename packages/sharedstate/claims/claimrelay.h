#pragma once

#include "sharedstate/claims/claimevent.h"
#include "sharedstate/claims/claimstate.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** The claims of one entry node within a batch. */
struct RelayedClaims
{
    /** Node that sent the claims. */
    std::string m_from;
    /** Number of the request at that node. */
    std::uint64_t m_request = 0;
    std::size_t m_count = 0;
};

/** Collects the claims of a domain's entry nodes into shared transactions, at a group holder. */
struct ClaimRelayState
{
    ClaimSettings m_settings;
    std::uint64_t m_nextRequest = 1;
    std::vector<RelayedClaims> m_parts;
    std::vector<RowWrite> m_writes;
    std::chrono::steady_clock::time_point m_due;
    std::map<std::uint64_t, std::vector<RelayedClaims>> m_inFlight;
};

/** A result for one entry node. */
struct RelayedResult
{
    std::string m_to;
    ClaimResult m_result;
};

struct ClaimRelayEffects
{
    std::vector<StoreRequest> m_store;
    std::vector<RelayedResult> m_results;
};

/** Adds the claims of a node to the batch; sends the batch when it is full. */
ClaimRelayEffects relayClaims(ClaimRelayState &state, const std::string &from,
                              const ClaimRequest &request,
                              std::chrono::steady_clock::time_point now);

/** Sends the batch if it is due. */
ClaimRelayEffects relayTick(ClaimRelayState &state, std::chrono::steady_clock::time_point now);

/** Splits the result of a batch by entry node. */
ClaimRelayEffects relayResult(ClaimRelayState &state, const StoreResult &result);

} // namespace chervilmount::sharedstate
