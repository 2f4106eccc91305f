#pragma once

#include "model/configuration/configuration.h"
#include "model/findings/finding.h"
#include "model/json/document.h"
#include "model/parsing/configurationlocations.h"

#include <boost/json/value.hpp>

#include <vector>

namespace chervilmount::model {

/** The result of checking a whole configuration. */
struct CheckResult
{
    /** Problems; a configuration with findings is rejected. */
    Findings m_findings;
    /** Accepted settings that operators should be aware of. */
    Findings m_notes;
};

/**
 * Checks a whole configuration: names and formats, ranges, duplicates, references, cycles and depth
 * of service calls, base shares, keys shared by organisations, shadowed and unreachable routes, and
 * once-only routes with extra attempts.
 *
 * @see docs/decisions/configuration-checks.md
 */
CheckResult checkConfiguration(const LocatedConfiguration &set);

/** A configuration that has passed the check, in canonical order. */
struct LoadedConfiguration
{
    Configuration m_configuration;
    Findings m_notes;
};

/**
 * Parses, merges and checks a configuration.
 *
 * @returns the configuration in canonical order.
 * @throws FindingsError with the findings of both parsing and checking.
 */
LoadedConfiguration loadConfiguration(const std::vector<SourceText> &texts);

/** Reads and checks a configuration from a JSON value. */
LoadedConfiguration loadConfiguration(const boost::json::value &value,
                                      const SourceLocation &location);

} // namespace chervilmount::model
