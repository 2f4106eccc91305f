#pragma once

#include "sharedstate/claims/claimevent.h"
#include "sharedstate/claims/claimstate.h"

namespace chervilmount::sharedstate {

/** Issues a store request for a call and makes it the call's current request. */
void sendStoreRequest(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                      ClaimedCall &call, StoreOperation operation,
                      std::chrono::steady_clock::time_point now);

/** Starts removing the claim of a call that never ran. */
void startRelease(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                  std::chrono::steady_clock::time_point now, const ClaimFaults &faults);

/** Starts recording the response of a call. */
void startRecording(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                    ClaimedCall &call, const std::string &response,
                    std::chrono::steady_clock::time_point now);

/**
 * Handles the result of a request that releases a claim or records a response.
 * @returns whether the call has ended.
 */
bool finishResult(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                  const StoreResult &result, std::chrono::steady_clock::time_point now,
                  const ClaimFaults &faults);

/**
 * Retries a release or a recording.
 * @returns whether its retry period has expired, which ends the call.
 */
bool retryFinish(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                 std::chrono::steady_clock::time_point now, const ClaimFaults &faults);

} // namespace chervilmount::sharedstate
