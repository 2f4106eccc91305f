#pragma once

#include "model/configuration/configuration.h"
#include "model/findings/finding.h"

#include <string>

namespace chervilmount::node {

/**
 * Parses the configuration set.
 * @param findings receives what is wrong; the result is valid only if it stays empty.
 */
model::Configuration parseConfiguration(const std::string &text, model::Findings &findings);

} // namespace chervilmount::node
