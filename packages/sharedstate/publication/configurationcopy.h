#pragma once

#include "sharedstate/publication/linkclock.h"
#include "sharedstate/publication/publisher.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Times of the configuration's spread. */
struct FreshnessSettings
{
    /** A copy without a proof for this long is not used for keyed routes. */
    std::chrono::milliseconds m_bound{3000};
    /** Part of the bound that is not used; covers clock rates and the decision itself. */
    std::chrono::milliseconds m_margin{30};
    /** How often the holder makes a word and a watcher reads the row. */
    std::chrono::milliseconds m_attestationInterval{500};
    /** A word is passed on only if it is fresher than the last one by this. */
    std::chrono::milliseconds m_forwardStep{250};
    /** A watcher passes its own reads on only if the newest proof is older than this. */
    std::chrono::milliseconds m_watcherForwardAge{1000};
    std::chrono::milliseconds m_fetchInterval{200};
    /**
     * A node that is not a watcher asks the store only if its peers did not close a gap for this
     * long; otherwise each publication would cause a read by every node.
     */
    std::chrono::milliseconds m_storeFallback{1000};
};

/** States that at a time m_age before the stamp nothing newer than m_version was accepted. */
struct FreshnessAttestation
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::string m_hash;
    std::chrono::steady_clock::duration m_age{0};
};

/** A word with the receiver's own clock. */
struct KnownAttestation
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** At this time nothing newer was accepted. */
    std::chrono::steady_clock::time_point m_time;
};

/** A node's copy of the configuration: versions and proofs; the set itself is the node's. */
struct ConfigurationCopy
{
    FreshnessSettings m_settings;
    /** Set by the node: peers on the membership graph. */
    std::vector<std::string> m_neighbours;
    /** Set by the node: one of the domain's 3 watchers. */
    bool m_watcher = false;

    /** Version that is in use; 0 before the first. */
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** Latest time at which nothing newer than m_version had been accepted. */
    std::chrono::steady_clock::time_point m_provenAt;
    bool m_proven = false;
    KnownAttestation m_newestAttestation;
    std::chrono::steady_clock::time_point m_lastForwardedTime;
    /** The last objects that were applied, for peers with a gap. */
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

/** Asks a peer for the objects after a version. */
struct ConfigurationFetch
{
    std::string m_to;
    std::uint64_t m_after = 0;
};

/** An object for a peer. */
struct ConfigurationOffer
{
    std::string m_to;
    ConfigurationObject m_object;
};

/** A word for a peer; the sender adds the link stamp when it sends, and the age up to then. */
struct AttestationForPeer
{
    std::string m_to;
    FreshnessAttestation m_attestation;
};

struct CopyEffects
{
    std::vector<StoreRequest> m_store;
    /**
     * Objects to apply in this order. The node checks the hash of the resulting set and then calls
     * objectApplied for each that is right.
     */
    std::vector<ConfigurationObject> m_apply;
    std::vector<ConfigurationOffer> m_offers;
    std::vector<AttestationForPeer> m_attestations;
    std::vector<ConfigurationFetch> m_fetches;
    /** Peers whose gap is larger than the log; they get the whole set as one object. */
    std::vector<std::string> m_snapshotsTo;
};

/** An object arrived from a peer, from the store, or from the node's own publisher. */
CopyEffects objectReceived(ConfigurationCopy &copy, const ConfigurationObject &object);

/** The node has applied an object and checked the hash of the set. */
CopyEffects objectApplied(ConfigurationCopy &copy, const ConfigurationObject &object,
                          std::chrono::steady_clock::time_point now);

/**
 * A word arrived, or was made by this node's own publisher.
 * @param madeAt time by the own clock that is not later than the making of the word.
 */
CopyEffects attestationReceived(ConfigurationCopy &copy, const FreshnessAttestation &attestation,
                                std::chrono::steady_clock::time_point madeAt,
                                std::chrono::steady_clock::time_point now);

/** A peer asks for objects. */
CopyEffects fetchReceived(const ConfigurationCopy &copy, const std::string &from,
                          std::uint64_t after);

CopyEffects copyResult(ConfigurationCopy &copy, const StoreResult &result,
                       std::chrono::steady_clock::time_point now);

/** Reads as a watcher and closes gaps; to be called every 100 ms. */
CopyEffects copyTick(ConfigurationCopy &copy, std::chrono::steady_clock::time_point now,
                     std::mt19937_64 &random);

/** @returns whether keyed routes may be served with the copy at this moment. */
bool hasFreshnessProof(const ConfigurationCopy &copy, std::chrono::steady_clock::time_point now,
                       const PublicationFaults &faults = {});

} // namespace chervilmount::sharedstate
