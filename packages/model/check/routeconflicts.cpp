#include "model/check/routeconflicts.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace chervilmount::model {

namespace {

/** The first route of each method at one host and path prefix; the empty method is "every". */
using FirstRoutes = std::map<std::string_view, std::size_t>;

RouteConflict compareWithFirst(const Route &route, std::size_t index, FirstRoutes &firstRoutes)
{
    RouteConflict conflict{index, {}, {}, false};
    std::vector<std::string> methods = route.m_methods;
    if (methods.empty())
        methods.emplace_back();
    for (const std::string &method : methods) {
        const auto earlier = firstRoutes.find(method);
        if (earlier == firstRoutes.end() || earlier->second == index)
            continue;
        if (std::find(conflict.m_shadowedBy.begin(), conflict.m_shadowedBy.end(), earlier->second)
            == conflict.m_shadowedBy.end())
            conflict.m_shadowedBy.push_back(earlier->second);
        conflict.m_methods.push_back(method);
    }
    conflict.m_isUnreachable = conflict.m_methods.size() == methods.size();
    if (route.m_methods.empty()) {
        conflict.m_methods.clear();
        firstRoutes.emplace(std::string_view(), index);
    }
    for (const std::string &method : route.m_methods)
        firstRoutes.emplace(method, index);
    return conflict;
}

} // namespace

std::vector<RouteConflict> findRouteConflicts(const std::vector<Route> &routes)
{
    std::map<std::pair<std::string_view, std::string_view>, FirstRoutes> places;
    std::vector<RouteConflict> conflicts;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const Route &route = routes[index];
        RouteConflict conflict =
                compareWithFirst(route, index, places[{route.m_host, route.m_pathPrefix}]);
        if (!conflict.m_shadowedBy.empty())
            conflicts.push_back(std::move(conflict));
    }
    return conflicts;
}

} // namespace chervilmount::model
