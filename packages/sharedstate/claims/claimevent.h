#pragma once

#include "sharedstate/store/storeoperation.h"
#include "sharedstate/store/storeresult.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::sharedstate {

/** A once-only call has arrived and must hold a claim before it is dispatched. */
struct ClaimWanted
{
    std::uint64_t m_call = 0;
    std::string m_organisation;
    /** Hash of the Idempotency-Key header as hexadecimal text. */
    std::string m_keyHash;
    /** Digest of method, path and body as hexadecimal text. */
    std::string m_digest;
    std::chrono::steady_clock::time_point m_deadline;
};

/** The call was proven not to have run, and it will not be sent again. */
struct CallNotRun
{
    std::uint64_t m_call = 0;
};

/** The complete response of the dispatched call has been received. */
struct CallAnswered
{
    std::uint64_t m_call = 0;
    /** Status, headers and body as opaque bytes. */
    std::string m_response;
};

/** The outcome of the dispatched call is unknown; its claim is kept. */
struct CallOutcomeUnknown
{
    std::uint64_t m_call = 0;
};

/** Result of claims that were inserted through the group holder. */
struct ClaimResult
{
    std::uint64_t m_request = 0;
    StoreOutcome m_outcome = StoreOutcome::Unknown;
    std::vector<WriteResult> m_writes;
};

/** Timer event; to be sent every few milliseconds while calls wait. @see nextTick */
struct ClaimTick
{
};

using ClaimEvent = std::variant<ClaimWanted, CallNotRun, CallAnswered, CallOutcomeUnknown,
                                StoreResult, ClaimResult, ClaimTick>;

/** Asks the domain's group holder to insert claims, batched with those of other nodes. */
struct ClaimRequest
{
    std::uint64_t m_request = 0;
    std::vector<RowWrite> m_writes;
};

enum class ClaimVerdict {
    /** The claim is confirmed: send the call. */
    Dispatch,
    /** Refuse as not run; the call was not sent and will not be sent. */
    RefuseNotRun,
    /** Respond with the recorded response of the earlier attempt. */
    ReplayResponse,
    /** Status 409: an earlier attempt holds the claim and has no recorded response. */
    OutcomeUnknown,
    /** Status 422: the key was used with another method, path or body. */
    DigestMismatch
};

/** What the node has to do with a call. */
struct ClaimDecision
{
    std::uint64_t m_call = 0;
    ClaimVerdict m_verdict = ClaimVerdict::RefuseNotRun;
    /** The recorded response, for ReplayResponse. */
    std::string m_response;
    /** Reason code for logs and for the header Chervilmount-Reason. */
    std::string m_reason;
};

struct ClaimEffects
{
    std::vector<StoreRequest> m_store;
    /** To the domain's group holder. */
    std::vector<ClaimRequest> m_relay;
    std::vector<ClaimDecision> m_decisions;
};

/** Faults that tests inject to verify that the checkers detect them; never set in production. */
struct ClaimFaults
{
    /** Dispatches when the insert is sent instead of when it is confirmed. */
    bool m_dispatchBeforeClaimKnown = false;
    /** Treats an unknown outcome of the insert as success. */
    bool m_treatUnknownAsClaimed = false;
    /** Refuses as not run when the outcome of a dispatched call is unknown. */
    bool m_releaseAfterUnknownOutcome = false;
    /** Deletes the claim row without checking its revision. */
    bool m_unconditionalRelease = false;
};

} // namespace chervilmount::sharedstate
