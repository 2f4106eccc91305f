#pragma once

#include "model/configuration/configuration.h"
#include "model/findings/finding.h"
#include "model/findings/sourcelocation.h"
#include "model/json/document.h"
#include "model/parsing/configurationlocations.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace chervilmount::model {

/**
 * Parses one or more JSON texts and merges them into one configuration: each text may hold any of
 * the sections, and the objects of a section are concatenated in the order of the texts.
 *
 * @param texts the texts and their sources.
 * @param findings receives all findings of syntax, types, missing, unknown and duplicate fields.
 * @returns the objects that could be read, with their source locations.
 */
LocatedConfiguration readConfiguration(const std::vector<SourceText> &texts, Findings &findings);

/** Reads a configuration from a JSON value. @see readConfiguration */
LocatedConfiguration readConfiguration(const boost::json::value &value,
                                       const SourceLocation &location, Findings &findings);

/**
 * Parses a configuration without checking it as a whole, e.g. one that a peer has already checked.
 *
 * @throws FindingsError with all findings.
 * @see loadConfiguration
 */
Configuration parseConfiguration(const std::vector<SourceText> &texts);

/** @returns the configuration as a JSON object, in the order of the vectors. */
boost::json::object toJson(const Configuration &configuration);

/** Puts a configuration into canonical order: objects by name, methods, calls and shares sorted. */
Configuration canonical(Configuration configuration);

/** @returns the canonical JSON text of a configuration, without white space. */
std::string canonicalText(const Configuration &configuration);

} // namespace chervilmount::model
