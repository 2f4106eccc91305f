#pragma once

#include "model/configuration/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::model {

/** A route that loses requests to routes before it with the same host and path prefix. */
struct RouteConflict
{
    /** Index of the route. */
    std::size_t m_route = 0;
    /** Indices of the routes that take its requests. */
    std::vector<std::size_t> m_shadowedBy;
    /** Methods that are taken; empty for a route that matches every method. */
    std::vector<std::string> m_methods;
    /** Whether no request is left for the route. */
    bool m_isUnreachable = false;
};

/**
 * Finds the routes whose match is not decided by the look-up rule of RouteTable: routes of one host
 * and path prefix that list the same method, or that all match every method.
 */
std::vector<RouteConflict> findRouteConflicts(const std::vector<Route> &routes);

} // namespace chervilmount::model
