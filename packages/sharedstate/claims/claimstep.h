#pragma once

#include "sharedstate/claims/claimevent.h"
#include "sharedstate/claims/claimstate.h"

#include <random>

namespace chervilmount::sharedstate {

/**
 * Handles an event of once-only calls at their entry node.
 *
 * A call is dispatched only after the claim row is known to contain the call's nonce. An insert
 * with unknown outcome is read back and, if the row is absent, repeated with the same nonce until
 * the call's deadline. A call that is refused as not run is never dispatched. Its claim is deleted
 * only if the row's revision is unchanged, so that a delayed deletion cannot remove the claim of a
 * later attempt.
 *
 * @param random source of the nonces.
 * @param faults for tests only.
 * @returns store requests, relay requests, and for each call at most one dispatch and at most one
 *          final decision.
 */
ClaimEffects step(ClaimState &state, const ClaimEvent &event,
                  std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                  const ClaimFaults &faults = {});

/** @returns when the next ClaimTick is due; the maximum if none is needed. */
std::chrono::steady_clock::time_point nextTick(const ClaimState &state);

} // namespace chervilmount::sharedstate
