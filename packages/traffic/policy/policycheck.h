#pragma once

#include "model/findings/finding.h"
#include "traffic/policy/trafficpolicy.h"

namespace chervilmount::traffic {

/**
 * Checks a policy as a whole: references, weights, ranges, duplicate routes and keys that two
 * organisations share.
 * @param source name of the document, for the findings.
 * @returns all findings; a policy with findings is not put into effect.
 */
model::Findings checkPolicy(const TrafficPolicy &policy, const std::string &source);

} // namespace chervilmount::traffic
