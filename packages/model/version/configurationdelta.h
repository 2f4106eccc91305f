#pragma once

#include "model/configuration/configuration.h"
#include "model/digest/sha256.h"
#include "model/findings/finding.h"
#include "model/findings/sourcelocation.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::model {

/** The changes from one version of the configuration to another. */
struct ConfigurationDelta
{
    /** Version that the delta applies to. */
    std::uint64_t m_fromVersion = 0;
    /** Version that results; higher than m_fromVersion. */
    std::uint64_t m_toVersion = 0;
    /** Hash of the resulting configuration. */
    Digest m_hash{};
    /** Objects that are added or replaced, by name. */
    Configuration m_put;
    /** Names of removed objects. @{ */
    std::vector<std::string> m_removedFailureDomains;
    std::vector<std::string> m_removedPriorities;
    std::vector<std::string> m_removedServices;
    std::vector<std::string> m_removedRoutes;
    std::vector<std::string> m_removedOrganisations;
    std::vector<std::string> m_removedKeys;
    /** @} */
};

/** @returns the delta between two versions; they need not be in canonical order. */
ConfigurationDelta makeDelta(const Configuration &from, std::uint64_t fromVersion,
                             const Configuration &to, std::uint64_t toVersion);

/** @returns the delta as JSON: fromVersion, toVersion, hash, put and removed. */
boost::json::object toJson(const ConfigurationDelta &delta);

/**
 * Parses a delta that toJson() wrote.
 *
 * @throws FindingsError with all findings.
 */
ConfigurationDelta parseDelta(const boost::json::value &value, const SourceLocation &location);

} // namespace chervilmount::model
