#include "routing/match/routematch.h"

#include "model/index/lowercase.h"

#include <algorithm>
#include <tuple>

namespace chervilmount::routing {

namespace {

bool sameHost(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return model::lowerCase(a) == model::lowerCase(b); });
}

bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size()
            || path[prefix.size()] == '/';
}

bool methodMatches(const model::Route &route, std::string_view method)
{
    return route.m_methods.empty()
            || std::find(route.m_methods.begin(), route.m_methods.end(), method)
            != route.m_methods.end();
}

bool triedBefore(const model::Route &left, const model::Route &right)
{
    return std::tuple(right.m_pathPrefix.size(), left.m_host.empty(), left.m_methods.empty())
            < std::tuple(left.m_pathPrefix.size(), right.m_host.empty(), right.m_methods.empty());
}

} // namespace

RouteTable makeRouteTable(const std::vector<model::Route> &routes)
{
    RouteTable table{routes};
    std::stable_sort(table.m_routes.begin(), table.m_routes.end(), triedBefore);
    return table;
}

std::optional<std::uint32_t> matchRoute(const RouteTable &table, std::string_view host,
                                        std::string_view method, std::string_view path)
{
    for (std::uint32_t index = 0; index < table.m_routes.size(); ++index) {
        const model::Route &route = table.m_routes[index];
        if (prefixMatches(route.m_pathPrefix, path) && methodMatches(route, method)
            && (route.m_host.empty() || sameHost(route.m_host, host)))
            return index;
    }
    return std::nullopt;
}

} // namespace chervilmount::routing
