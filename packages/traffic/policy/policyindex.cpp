#include "traffic/policy/policyindex.h"

#include "model/index/lowercase.h"

#include <algorithm>
#include <utility>

namespace chervilmount::traffic {

namespace {

std::string lowerCaseHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), model::lowerCase);
    return name;
}

template<typename Value>
const Value *findIn(const model::StringMap<const Value *> &map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

PolicyIndex::PolicyIndex(TrafficPolicy policy)
    : m_policy(std::move(policy))
{
    for (const RoutePolicy &route : m_policy.m_routes) {
        m_hosts[lowerCaseHost(route.m_host)].push_back(&route);
        m_routeNames.emplace(route.m_name, &route);
    }
    for (auto &[host, routes] : m_hosts) {
        std::sort(routes.begin(), routes.end(), [](const RoutePolicy *a, const RoutePolicy *b) {
            return a->m_prefix.size() > b->m_prefix.size();
        });
    }
    for (const OrganisationPolicy &organisation : m_policy.m_organisations) {
        for (const std::string &key : organisation.m_keys)
            m_keys.emplace(key, &organisation);
    }
    for (const RoutePolicy &route : m_policy.m_routes) {
        // Calls between services are never shed, so their priorities need no rank.
        if (route.m_open && m_policy.m_requiresKeys)
            continue;
        m_priorities.push_back(priorities(route, nullptr));
        for (const OrganisationPolicy &organisation : m_policy.m_organisations)
            m_priorities.push_back(priorities(route, &organisation));
    }
    std::sort(m_priorities.begin(), m_priorities.end());
    m_priorities.erase(std::unique(m_priorities.begin(), m_priorities.end()), m_priorities.end());
    for (const ServicePolicy &service : m_policy.m_services)
        m_serviceNames.emplace(service.m_name, &service);
}

const RoutePolicy *PolicyIndex::findRoute(std::string_view host, std::string_view target) const
{
    const auto found = m_hosts.find(lowerCaseHost(host));
    if (found == m_hosts.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const RoutePolicy *route : found->second) {
        if (path.substr(0, route->m_prefix.size()) == route->m_prefix)
            return route;
    }
    return nullptr;
}

int PolicyIndex::importance(const RoutePolicy &route, const OrganisationPolicy *organisation) const
{
    const auto found = std::lower_bound(m_priorities.begin(), m_priorities.end(),
                                        priorities(route, organisation));
    return static_cast<int>(found - m_priorities.begin());
}

PolicyIndex::PriorityPair PolicyIndex::priorities(const RoutePolicy &route,
                                                  const OrganisationPolicy *organisation)
{
    const int second = organisation == nullptr
            ? route.m_priority
            : organisation->m_priority.value_or(route.m_priority);
    return {route.m_priority, second};
}

const RoutePolicy *PolicyIndex::routeNamed(std::string_view name) const
{
    return findIn(m_routeNames, name);
}

const OrganisationPolicy *PolicyIndex::findKey(std::string_view key) const
{
    return findIn(m_keys, key);
}

const ServicePolicy *PolicyIndex::serviceNamed(std::string_view name) const
{
    return findIn(m_serviceNames, name);
}

} // namespace chervilmount::traffic
