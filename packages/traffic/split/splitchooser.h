#pragma once

#include "traffic/policy/trafficpolicy.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::traffic {

/** Progress of a route's split at one node. */
struct SplitState
{
    /** Services and weights that the credits belong to. */
    std::vector<SplitPart> m_parts;
    /** Share of requests by which each part is behind its weight. */
    std::vector<double> m_credits;
};

/** Splits of all routes, by route name. */
using SplitStates = std::unordered_map<std::string, SplitState>;

/**
 * Chooses the service of the next request by smooth weighted round robin, so that even few requests
 * keep to the weights. A service short of room is chosen all the same: moving its requests
 * elsewhere would break the operator's proportions.
 * @returns the service.
 */
const std::string &chooseSplitPart(SplitStates &states, const RoutePolicy &route);

} // namespace chervilmount::traffic
