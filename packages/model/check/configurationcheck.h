#pragma once

#include "model/configuration/configuration.h"
#include "model/findings/finding.h"
#include "model/json/document.h"
#include "model/parsing/configurationlocations.h"

#include <boost/json/value.hpp>

#include <vector>

namespace chervilmount::model {

/** The result of checking a set as a whole. */
struct CheckResult
{
    /** Problems; a set with findings is not accepted. */
    Findings m_findings;
    /** Settings that are accepted but that operators should know about. */
    Findings m_notes;
};

/**
 * Checks a set as a whole: names and formats, ranges, duplicates, references, cycles and depth of
 * service calls, base shares, keys shared by organisations, shadowed and unreachable routes, and
 * once-only routes with extra attempts.
 *
 * @see docs/decisions/configuration-checks.md
 */
CheckResult checkConfiguration(const LocatedConfiguration &set);

/** A set that has passed the check, in canonical order. */
struct LoadedConfiguration
{
    Configuration m_configuration;
    Findings m_notes;
};

/**
 * Reads, merges and checks a set.
 *
 * @returns the set in canonical order.
 * @throws FindingsError with the findings of reading and of the check together.
 */
LoadedConfiguration loadConfiguration(const std::vector<SourceText> &texts);

/** Reads and checks a set from a value that is already parsed. */
LoadedConfiguration loadConfiguration(const boost::json::value &value,
                                      const SourceLocation &location);

} // namespace chervilmount::model
