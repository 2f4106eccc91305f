#pragma once

#include "node/entry/callrunner.h"
#include "node/entry/claimservice.h"

#include <cstddef>

namespace chervilmount::node {

/** Size limits of once-only requests, whose bodies and responses are buffered in memory. */
struct OnceOnlyLimits
{
    std::size_t m_bodyBytes = 1024UL * 1024;
    /** Larger responses are not recorded; repeats are then answered with "outcome unknown". */
    std::size_t m_responseBytes = 16UL * 1024 * 1024;
};

/**
 * Runs a once-only request: claims it, sends it once the claim is confirmed, and records the
 * response. Repeats are answered with the recorded response.
 */
adapters::Task<CallOutcome> runOnceOnly(ClaimService &claims, CallRunner &runner,
                                        OnceOnlyLimits limits, adapters::HttpExchange &exchange,
                                        CallPlan plan);

} // namespace chervilmount::node
