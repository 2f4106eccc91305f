#pragma once

#include "traffic/policy/trafficpolicy.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::traffic {

/** State of the weighted round robin of one route at one node. */
struct SplitState
{
    /** Services and weights for which the credits were computed. */
    std::vector<SplitPart> m_parts;
    /** Number of requests by which each part is behind its weight. */
    std::vector<double> m_credits;
};

/** Split states by route name. */
using SplitStates = std::unordered_map<std::string, SplitState>;

/**
 * Selects the service of the next request by smooth weighted round robin, so that even a few
 * requests follow the weights. Overloaded services are not skipped, because that would change the
 * proportions set by the operator.
 * @returns the service.
 */
const std::string &chooseSplitPart(SplitStates &states, const RoutePolicy &route);

} // namespace chervilmount::traffic
