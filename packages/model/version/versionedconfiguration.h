#pragma once

#include "model/configuration/configuration.h"
#include "model/digest/sha256.h"
#include "model/version/configurationdelta.h"
#include "model/version/objecthashes.h"

#include <cstdint>

namespace chervilmount::model {

/** Identifies one version of the set. */
struct ConfigurationVersion
{
    /** 0 is the empty set that precedes the first publication. */
    std::uint64_t m_version = 0;
    Digest m_hash{};
};

/** What a holder of one version does with an offer of another. */
enum class OfferDecision {
    /** The offer is the next version or a later snapshot: take it. */
    Adopt,
    /** The offer is the version that is held. */
    Known,
    /** The offer is older; versions only move up. */
    Older,
    /** The offer is a delta whose base is not held; the versions between must be fetched. */
    Gap,
    /** The offer has the held version number with another hash, or a hash that does not match its
     * content. It is never adopted. */
    Mismatch
};

/** A set in canonical order with its version and hashes. */
class VersionedConfiguration
{
public:
    /** Makes version 0, the empty set. */
    VersionedConfiguration();

    /** Makes a version of a set. @param version version of the set. */
    VersionedConfiguration(Configuration configuration, std::uint64_t version);

    const ConfigurationVersion &version() const { return m_version; }

    /** @returns the set in canonical order. */
    const Configuration &configuration() const { return m_configuration; }

    /** Decides on an offered version without its content, e.g. from a freshness word: Gap means
     * that a newer version exists and must be fetched. */
    OfferDecision compare(const ConfigurationVersion &offered) const;

    /**
     * Applies a delta if it leads from the held version to a higher one and its hash is right.
     * Otherwise nothing changes. Hashes are computed only for the changed objects.
     */
    OfferDecision apply(const ConfigurationDelta &delta);

    /** Replaces the set by a snapshot if the snapshot's version is higher and its hash is right. */
    OfferDecision replace(const Configuration &snapshot, const ConfigurationVersion &version);

private:
    Configuration m_configuration;
    ObjectHashes m_hashes;
    ConfigurationVersion m_version;
};

/** @returns the set that results from a delta, in canonical order; versions are not compared.
 * apply(makeDelta(a, 1, b, 2), a) equals b in canonical order. */
Configuration apply(const ConfigurationDelta &delta, const Configuration &configuration);

} // namespace chervilmount::model
