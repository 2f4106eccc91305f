#pragma once

#include "model/configuration/route.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chervilmount::routing {

/** Routes of one configuration in matching order. */
struct RouteTable
{
    std::vector<model::Route> m_routes;
};

/** Orders the routes: longer path prefix first, then named host before any host, then named
 * methods before any method, then the given order. */
RouteTable makeRouteTable(const std::vector<model::Route> &routes);

/**
 * Finds the route of a request.
 * @param host without port; case-insensitive.
 * @param path without query; prefixes match only at a segment boundary.
 * @returns the index in the table; nothing if no route matches.
 */
std::optional<std::uint32_t> matchRoute(const RouteTable &table, std::string_view host,
                                        std::string_view method, std::string_view path);

} // namespace chervilmount::routing
