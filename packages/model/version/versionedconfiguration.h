#pragma once

#include "model/configuration/configuration.h"
#include "model/digest/sha256.h"
#include "model/version/configurationdelta.h"
#include "model/version/objecthashes.h"

#include <cstdint>

namespace chervilmount::model {

/** Identifies one version of the configuration. */
struct ConfigurationVersion
{
    /** 0 is the empty configuration before the first publication. */
    std::uint64_t m_version = 0;
    Digest m_hash{};
};

/** Result of comparing an offered version with the current one. */
enum class OfferDecision {
    /** The offer was a newer version and has been adopted. */
    Adopt,
    /** The offer is the current version. */
    Known,
    /** The offer is older; the version never decreases. */
    Older,
    /** The offer is newer but cannot be applied as it is: its content, or the versions between,
     * must be fetched first. */
    Gap,
    /** The offer has the current version number with another hash, or a hash that does not match
     * its content. It is never adopted. */
    Mismatch
};

/** A configuration in canonical order with its version and hashes. */
class VersionedConfiguration
{
public:
    /** Creates version 0, the empty configuration. */
    VersionedConfiguration();

    /** Creates the given version of a configuration, which need not be in canonical order. */
    VersionedConfiguration(Configuration configuration, std::uint64_t version);

    const ConfigurationVersion &version() const { return m_version; }

    /** @returns the configuration in canonical order. */
    const Configuration &configuration() const { return m_configuration; }

    /** Compares an offered version without its content: Gap means that a newer version exists and
     * must be fetched. */
    OfferDecision compare(const ConfigurationVersion &offered) const;

    /**
     * Applies a delta if it leads from the current version to a newer one and the resulting hash
     * matches; otherwise nothing changes. Only changed objects are hashed again.
     */
    OfferDecision apply(const ConfigurationDelta &delta);

    /** Replaces the configuration with a snapshot if the snapshot is newer and its hash matches. */
    OfferDecision replace(const Configuration &snapshot, const ConfigurationVersion &version);

private:
    Configuration m_configuration;
    ObjectHashes m_hashes;
    ConfigurationVersion m_version;
};

/** Applies a delta without comparing versions: apply(makeDelta(a, 1, b, 2), a) equals b.
 * @returns the resulting configuration in canonical order. */
Configuration apply(const ConfigurationDelta &delta, const Configuration &configuration);

} // namespace chervilmount::model
