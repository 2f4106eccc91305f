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

/** One version of the configuration as opaque bytes. */
struct ConfigurationObject
{
    std::uint64_t m_version = 0;
    /** Hash of the whole set at this version. */
    std::string m_hash;
    /** Version that the body is a delta against; 0 for a snapshot. */
    std::uint64_t m_base = 0;
    std::string m_body;
};

/** From an operator's node to the holder of the lease `configuration`; the set was checked. */
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
    /** The commit is known. */
    Accepted,
    /** Another publication has the version; the result names the current one. */
    Conflict,
    /** The write may have taken effect; the command is to be repeated with the same nonce. */
    Unknown,
    /** Nothing was written: this node is not the holder or does not reach the store. */
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

/** What the publisher's last store request was. */
enum class PublisherOperation { Read, Fence, WriteObject, WriteRow };

/** A publication in progress. */
struct OpenPublication
{
    PublishRequest m_request;
    PublicationRow m_row;
    bool m_objectWritten = false;
    /** The row was sent at least once without a known result. */
    bool m_rowSent = false;
    std::chrono::steady_clock::time_point m_until;
};

/** The publisher at the node that holds the lease `configuration`. */
struct PublisherState
{
    std::uint64_t m_nextRequest = 1;
    /** Epoch that the row was fenced with; 0 before. */
    std::uint64_t m_fencedEpoch = 0;
    std::optional<PublicationRow> m_row;
    std::uint64_t m_revision = 0;
    /** Whether a read has told that row and revision, or the absence of the row, are known. */
    bool m_known = false;
    std::optional<OpenPublication> m_open;
    std::deque<PublishRequest> m_waiting;
    /** The request that is awaited; results of earlier ones are ignored. */
    std::uint64_t m_request = 0;
    PublisherOperation m_operation = PublisherOperation::Read;
    std::chrono::steady_clock::time_point m_nextAttempt;
};

/** What the publisher may do at this moment; from the lease. @see holdsRight */
struct PublisherRight
{
    bool m_held = false;
    std::uint64_t m_epoch = 0;
};

struct PublisherEffects
{
    std::vector<StoreRequest> m_store;
    std::vector<PublishResult> m_results;
    /** Versions whose commit has just become known, for the node's own copy. */
    std::vector<ConfigurationObject> m_committed;
};

/** Breaks one rule each; set by tests only, to show that the checkers find it. */
struct PublicationFaults
{
    /** Keyed requests are served without a freshness proof. */
    bool m_serveWithoutProof = false;
    /** A new holder vouches for the row that it read without writing its epoch into it. */
    bool m_skipFence = false;
    /** A word is taken for as fresh as its receipt. */
    bool m_ignoreTransit = false;
    /** The row is written without its revision as condition. */
    bool m_unconditionalWrite = false;
    /** An unknown write is reported as a conflict. */
    bool m_treatUnknownAsConflict = false;
};

/** Asks for a publication. */
PublisherEffects publishRequested(PublisherState &state, const PublishRequest &request,
                                  const PublisherRight &right,
                                  std::chrono::steady_clock::time_point now,
                                  std::mt19937_64 &random, const PublicationFaults &faults = {});

PublisherEffects publisherResult(PublisherState &state, const StoreResult &result,
                                 const PublisherRight &right,
                                 std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                                 const PublicationFaults &faults = {});

/** Fences a new epoch and repeats what has no result; to be called every 100 ms. */
PublisherEffects publisherTick(PublisherState &state, const PublisherRight &right,
                               std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                               const PublicationFaults &faults = {});

/**
 * Tells which version the holder vouches for: nothing newer was accepted up to now, because only
 * the holder writes and its epoch fences the writes of earlier ones.
 * @returns the row, or null if the node may not vouch.
 */
const PublicationRow *attestedRow(const PublisherState &state, const PublisherRight &right);

} // namespace chervilmount::sharedstate
