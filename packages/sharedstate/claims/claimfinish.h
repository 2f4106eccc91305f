#pragma once

#include "sharedstate/claims/claimevent.h"
#include "sharedstate/claims/claimstate.h"

namespace chervilmount::sharedstate {

/** Adds a store request for a call and notes it as the call's last one. */
void sendStoreRequest(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                      ClaimedCall &call, StoreOperation operation,
                      std::chrono::steady_clock::time_point now);

/** Starts to remove the claim of a call that never ran. */
void startRelease(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                  std::chrono::steady_clock::time_point now, const ClaimFaults &faults);

/** Starts to record the response of a call. */
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

/** Repeats a release or a recording. @returns whether its time is over, which ends the call. */
bool retryFinish(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                 std::chrono::steady_clock::time_point now, const ClaimFaults &faults);

} // namespace chervilmount::sharedstate
