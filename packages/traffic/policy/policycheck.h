#pragma once

#include "model/findings/finding.h"
#include "traffic/policy/trafficpolicy.h"

namespace chervilmount::traffic {

/**
 * Validates a whole policy: references, weights, ranges, duplicate routes, and keys shared by two
 * organisations.
 * @param source name of the document to report in the findings.
 * @returns all findings; a policy with findings must not be applied.
 */
model::Findings checkPolicy(const TrafficPolicy &policy, const std::string &source);

} // namespace chervilmount::traffic
