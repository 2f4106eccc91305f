#pragma once

#include "sharedstate/publication/linkclock.h"
#include "sharedstate/publication/publisher.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Timing of configuration dissemination and freshness proofs. */
struct FreshnessSettings
{
    /** Keyed routes are not served from a copy whose latest proof is older than this. */
    std::chrono::milliseconds m_bound{3000};
    /** Safety margin within the bound; covers clock drift and the time of the decision itself. */
    std::chrono::milliseconds m_margin{30};
    /** How often the holder issues an attestation and a watcher reads the row. */
    std::chrono::milliseconds m_attestationInterval{500};
    /** An attestation is forwarded only if it is fresher than the last one by this. */
    std::chrono::milliseconds m_forwardStep{250};
    /** A watcher forwards its own reads only if the newest attestation is older than this. */
    std::chrono::milliseconds m_watcherForwardAge{1000};
    std::chrono::milliseconds m_fetchInterval{200};
    /**
     * A node that is not a watcher reads from the store only if its peers have not supplied missing
     * versions for this long; otherwise each publication would cause a read by every node.
     */
    std::chrono::milliseconds m_storeFallback{1000};
};

/** Attests that nothing newer than m_version had been accepted at m_age before the link stamp. */
struct FreshnessAttestation
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::string m_hash;
    std::chrono::steady_clock::duration m_age{0};
};

/** An attestation with its time converted to the receiver's clock. */
struct KnownAttestation
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** Time at which nothing newer had been accepted. */
    std::chrono::steady_clock::time_point m_time;
};

/** Version and freshness of a node's copy of the configuration; the node itself holds the set. */
struct ConfigurationCopy
{
    FreshnessSettings m_settings;
    /** Set by the node: peers on the membership graph. */
    std::vector<std::string> m_neighbours;
    /** Set by the node: whether it is one of the domain's 3 watchers, which poll the row. */
    bool m_watcher = false;

    /** Version in use; 0 before the first. */
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** Latest time at which nothing newer than m_version had been accepted. */
    std::chrono::steady_clock::time_point m_provenAt;
    bool m_proven = false;
    KnownAttestation m_newestAttestation;
    std::chrono::steady_clock::time_point m_lastForwardedTime;
    /** The last applied objects, kept for peers that are behind. */
    std::map<std::uint64_t, ConfigurationObject> m_log;
    std::vector<PublicationEntry> m_recent;

    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_rowRequest = 0;
    std::chrono::steady_clock::time_point m_rowSent;
    std::chrono::steady_clock::time_point m_nextRead;
    std::map<std::uint64_t, PublicationEntry> m_objectRequests;
    std::chrono::steady_clock::time_point m_nextFetch;
    std::optional<std::chrono::steady_clock::time_point> m_behindSince;
};

/** Requests the objects after a version from a peer. */
struct ConfigurationFetch
{
    std::string m_to;
    std::uint64_t m_after = 0;
};

/** An object to send to a peer. */
struct ConfigurationOffer
{
    std::string m_to;
    ConfigurationObject m_object;
};

/** An attestation for a peer; the sender adds the link stamp and the age up to the sending time. */
struct AttestationForPeer
{
    std::string m_to;
    FreshnessAttestation m_attestation;
};

struct CopyEffects
{
    std::vector<StoreRequest> m_store;
    /**
     * Objects to apply in this order. The node verifies the hash of the resulting set and then
     * calls objectApplied for each object that passes.
     */
    std::vector<ConfigurationObject> m_apply;
    std::vector<ConfigurationOffer> m_offers;
    std::vector<AttestationForPeer> m_attestations;
    std::vector<ConfigurationFetch> m_fetches;
    /** Peers that are behind by more than the log; they get the whole set as one object. */
    std::vector<std::string> m_snapshotsTo;
};

/** Handles an object from a peer, from the store, or from the node's own publisher. */
CopyEffects objectReceived(ConfigurationCopy &copy, const ConfigurationObject &object);

/** To be called when the node has applied an object and verified the hash of the set. */
CopyEffects objectApplied(ConfigurationCopy &copy, const ConfigurationObject &object,
                          std::chrono::steady_clock::time_point now);

/**
 * Handles an attestation from a peer or from this node's own publisher.
 * @param madeAt lower bound, on the own clock, of the time at which the attestation was made.
 */
CopyEffects attestationReceived(ConfigurationCopy &copy, const FreshnessAttestation &attestation,
                                std::chrono::steady_clock::time_point madeAt,
                                std::chrono::steady_clock::time_point now);

/** Answers a peer's request for the objects after a version. */
CopyEffects fetchReceived(const ConfigurationCopy &copy, const std::string &from,
                          std::uint64_t after);

/** Handles the result of a store request. */
CopyEffects copyResult(ConfigurationCopy &copy, const StoreResult &result,
                       std::chrono::steady_clock::time_point now);

/** Polls the row if the node is a watcher and requests missing versions; call it every 100 ms. */
CopyEffects copyTick(ConfigurationCopy &copy, std::chrono::steady_clock::time_point now,
                     std::mt19937_64 &random);

/** @returns whether keyed routes may be served with the copy at this moment. */
bool hasFreshnessProof(const ConfigurationCopy &copy, std::chrono::steady_clock::time_point now,
                       const PublicationFaults &faults = {});

} // namespace chervilmount::sharedstate
