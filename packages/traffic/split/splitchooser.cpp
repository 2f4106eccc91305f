#include "traffic/split/splitchooser.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

bool sameParts(const std::vector<SplitPart> &a, const std::vector<SplitPart> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const SplitPart &left, const SplitPart &right) {
                          return left.m_service == right.m_service
                                  && left.m_weight == right.m_weight;
                      });
}

} // namespace

const std::string &chooseSplitPart(SplitStates &states, const RoutePolicy &route)
{
    if (route.m_parts.size() == 1)
        return route.m_parts.front().m_service;
    SplitState &state = states[route.m_name];
    if (!sameParts(state.m_parts, route.m_parts)) {
        state.m_parts = route.m_parts;
        state.m_credits.assign(route.m_parts.size(), 0.0);
    }
    double sum = 0;
    for (const SplitPart &part : route.m_parts)
        sum += part.m_weight;
    std::size_t best = 0;
    for (std::size_t index = 0; index < route.m_parts.size(); ++index) {
        state.m_credits[index] += route.m_parts[index].m_weight / sum;
        if (state.m_credits[index] > state.m_credits[best])
            best = index;
    }
    state.m_credits[best] -= 1.0;
    return route.m_parts[best].m_service;
}

} // namespace chervilmount::traffic
