#pragma once

#include "model/configuration/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::model {

/** A route that is shadowed by earlier routes with the same host and path prefix. */
struct RouteConflict
{
    /** Index of the route. */
    std::size_t m_route = 0;
    /** Indices of the routes that match its requests first. */
    std::vector<std::size_t> m_shadowedBy;
    /** Shadowed methods; empty for a route that matches every method. */
    std::vector<std::string> m_methods;
    /** Whether no request can match the route. */
    bool m_isUnreachable = false;
};

/**
 * Finds routes that the matching rules of RouteTable cannot tell apart: routes of one host and path
 * prefix that list the same method, or that all match every method.
 */
std::vector<RouteConflict> findRouteConflicts(const std::vector<Route> &routes);

} // namespace chervilmount::model
