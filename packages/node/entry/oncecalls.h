#pragma once

#include "node/entry/callrunner.h"
#include "node/entry/claimservice.h"

#include <cstddef>

namespace chervilmount::node {

/** Limits of once-only requests, whose bodies and responses are held in memory. */
struct OnceLimits
{
    std::size_t m_bodyBytes = 1024UL * 1024;
    /** Larger responses are not recorded; a repeat then gets "outcome unknown". */
    std::size_t m_responseBytes = 16UL * 1024 * 1024;
};

/**
 * Runs a once-only request of a caller: claims it, sends it after the claim is known, and records
 * the response. Repeats get the recorded response.
 */
adapters::Task<CallOutcome> runOnceOnly(ClaimService &claims, CallRunner &runner, OnceLimits limits,
                                        adapters::HttpExchange &exchange, CallPlan plan);

} // namespace chervilmount::node
