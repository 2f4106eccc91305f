#pragma once

#include "sharedstate/claims/claimevent.h"
#include "sharedstate/claims/claimstate.h"

#include <random>

namespace chervilmount::sharedstate {

/**
 * Decides about once-only calls at their entry node.
 *
 * A call is dispatched only after its own nonce is known to be in the claim row. An unknown insert
 * is read back and, if the row is absent, inserted again under the same nonce, until the call's
 * deadline. A call that is refused as not run is never dispatched, and its claim is removed on
 * the condition of its revision, so that a late removal cannot hit the claim of a later attempt.
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
