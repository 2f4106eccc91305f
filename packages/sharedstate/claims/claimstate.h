#pragma once

#include "sharedstate/claims/claimrecord.h"
#include "sharedstate/store/storeoperation.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Time limits of once-only claims. */
struct ClaimSettings
{
    /** A batch is sent at the latest this long after its first claim. */
    std::chrono::milliseconds m_batchDelay{5};
    std::size_t m_batchSize = 64;
    std::chrono::milliseconds m_storeTimeout{500};
    /** Without a result from the relay for this long a claim is read back from the store. */
    std::chrono::milliseconds m_relayTimeout{100};
    /** Pause between two attempts to resolve an unknown outcome. */
    std::chrono::milliseconds m_retryInterval{50};
    /** How long a release or the recording of a response is retried. */
    std::chrono::milliseconds m_finishTimeout{30000};
};

/** Progress of a call's claim. */
enum class ClaimPhase {
    /** Waits for its batch to be sent. */
    Queued,
    /** The insert was sent. */
    Inserting,
    /** The outcome of the insert is unknown; the row is read back. */
    ReadingBack,
    /** The recorded response of an earlier attempt is read from the object store. */
    ReadingResponse,
    /** The claim is confirmed and the call was dispatched. */
    Dispatched,
    /** A large response is written to the object store. */
    WritingResponse,
    /** The response is written to the row. */
    Recording,
    /** The claim is removed because the call never ran. */
    Releasing
};

/** One once-only call at its entry node. */
struct ClaimedCall
{
    std::string m_row;
    Nonce m_nonce = 0;
    std::string m_digest;
    std::chrono::steady_clock::time_point m_deadline;
    ClaimPhase m_phase = ClaimPhase::Queued;
    /** The last store request of this call; results of earlier ones are ignored. */
    std::uint64_t m_request = 0;
    /** Revision of the claim row; known from the dispatch on. */
    std::uint64_t m_revision = 0;
    /** An insert with unknown outcome was sent, so the claim row may appear at any time. */
    bool m_ambiguous = false;
    /** The caller has its final response. */
    bool m_answered = false;
    /** When a tick retries; the maximum while a result is awaited. */
    std::chrono::steady_clock::time_point m_nextAttempt;
    /** When retries of a release or recording end. */
    std::chrono::steady_clock::time_point m_finishDeadline;
    std::string m_response;
    std::string m_responseObject;
};

/** A request without a result. */
struct ClaimRequestInFlight
{
    /** The calls of the request, in the order of its writes. */
    std::vector<std::uint64_t> m_calls;
    std::chrono::steady_clock::time_point m_sent;
};

/** The claims of one entry node. */
struct ClaimState
{
    ClaimSettings m_settings;
    /** Whether batches go through the domain's group holder; set by the node before each step. */
    bool m_useRelay = false;
    std::uint64_t m_nextRequest = 1;
    /** Calls by the number that the node assigned to them. */
    std::map<std::uint64_t, ClaimedCall> m_calls;
    /** Calls that wait for the next batch. */
    std::vector<std::uint64_t> m_batch;
    std::chrono::steady_clock::time_point m_batchDue;
    /** Requests to the store or to the relay that have no result yet. */
    std::map<std::uint64_t, ClaimRequestInFlight> m_inFlight;
};

} // namespace chervilmount::sharedstate
