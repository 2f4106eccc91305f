#pragma once

#include "sharedstate/publication/publicationrow.h"
#include "sharedstate/store/storeoperation.h"
#include "sharedstate/store/storeresult.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** One version of the configuration, as a delta or snapshot in opaque bytes. */
struct ConfigurationObject
{
    std::uint64_t m_version = 0;
    /** Hash of the whole set at this version. */
    std::string m_hash;
    /** Version that the body is a delta against; 0 for a snapshot. */
    std::uint64_t m_base = 0;
    std::string m_body;
};

/** From an operator's node, which has validated the set, to the holder of lease `configuration`. */
struct PublishRequest
{
    std::string m_from;
    /** Stays the same when the command is repeated. */
    Nonce m_nonce = 0;
    std::uint64_t m_expectedVersion = 0;
    std::string m_hash;
    /** A delta against the expected version, or a snapshot. */
    std::string m_body;
    bool m_snapshot = false;
};

enum class PublishOutcome {
    /** The commit is confirmed. */
    Accepted,
    /** Another publication has the version; the result names the current one. */
    Conflict,
    /** The write may have taken effect; the command should be repeated with the same nonce. */
    Unknown,
    /** Nothing was written: this node is not the holder or cannot reach the store. */
    Unavailable
};

struct PublishResult
{
    std::string m_to;
    Nonce m_nonce = 0;
    PublishOutcome m_outcome = PublishOutcome::Unavailable;
    /** The accepted version, or the current one for a conflict. */
    std::uint64_t m_version = 0;
    std::string m_hash;
};

/** Kind of the publisher's last store request. */
enum class PublisherOperation { Read, Fence, WriteObject, WriteRow };

/** A publication in progress. */
struct OpenPublication
{
    PublishRequest m_request;
    PublicationRow m_row;
    bool m_objectWritten = false;
    /** Whether the row was sent at least once, so that it may have been committed. */
    bool m_rowSent = false;
    std::chrono::steady_clock::time_point m_until;
};

/** The publisher at the node that holds the lease `configuration`. */
struct PublisherState
{
    std::uint64_t m_nextRequest = 1;
    /** Epoch with which this node fenced the row; 0 if it has not fenced it. */
    std::uint64_t m_fencedEpoch = 0;
    std::optional<PublicationRow> m_row;
    std::uint64_t m_revision = 0;
    /** Whether the row and its revision, or the absence of the row, are known from the store. */
    bool m_known = false;
    std::optional<OpenPublication> m_open;
    std::deque<PublishRequest> m_waiting;
    /** The outstanding request; results of earlier ones are ignored. */
    std::uint64_t m_request = 0;
    PublisherOperation m_operation = PublisherOperation::Read;
    std::chrono::steady_clock::time_point m_nextAttempt;
};

/** Whether the node currently holds the lease, and in which epoch. @see holdsRight */
struct PublisherRight
{
    bool m_held = false;
    std::uint64_t m_epoch = 0;
};

struct PublisherEffects
{
    std::vector<StoreRequest> m_store;
    std::vector<PublishResult> m_results;
    /** Newly committed versions, for the node's own copy. */
    std::vector<ConfigurationObject> m_committed;
};

/** Faults that tests inject to verify that the checkers detect them; never set in production. */
struct PublicationFaults
{
    /** Keyed requests are served without a freshness proof. */
    bool m_serveWithoutProof = false;
    /** A new holder attests the row that it read without writing its epoch into it. */
    bool m_skipFence = false;
    /** The transit time of an attestation is not added to its age. */
    bool m_ignoreTransit = false;
    /** The row is written without the condition on its revision. */
    bool m_unconditionalWrite = false;
    /** A write with unknown outcome is reported as a conflict. */
    bool m_treatUnknownAsConflict = false;
};

/** Handles a request to publish a version. */
PublisherEffects publishRequested(PublisherState &state, const PublishRequest &request,
                                  const PublisherRight &right,
                                  std::chrono::steady_clock::time_point now,
                                  std::mt19937_64 &random, const PublicationFaults &faults = {});

/** Handles the result of a store request. */
PublisherEffects publisherResult(PublisherState &state, const StoreResult &result,
                                 const PublisherRight &right,
                                 std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                                 const PublicationFaults &faults = {});

/** Fences a new epoch and retries requests without a result; to be called every 100 ms. */
PublisherEffects publisherTick(PublisherState &state, const PublisherRight &right,
                               std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                               const PublicationFaults &faults = {});

/**
 * Returns the row that the holder may attest as current. Nothing newer has been accepted up to now,
 * because only the holder writes and its epoch fences off the writes of earlier holders.
 * @returns the row, or null if the node is not a holder that has fenced the row.
 */
const PublicationRow *attestedRow(const PublisherState &state, const PublisherRight &right);

} // namespace chervilmount::sharedstate
