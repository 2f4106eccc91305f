#pragma once

#include "relay/runtime/relaysettings.h"

#include <string>

namespace chervilmount::relay {

/**
 * Reads settings of the decisions from a JSON document. Each mechanism can be switched off, to
 * measure what it contributes; docs/operators/decisions.md lists the fields. Fields that are left
 * out keep their values.
 * @param source name of the file, for the findings.
 * @throws model::FindingsError with all findings, unknown fields among them.
 */
void parseDecisionSettings(const std::string &text, const std::string &source,
                           RelaySettings &settings);

} // namespace chervilmount::relay
