#pragma once

#include "model/index/routetable.h"
#include "traffic/policy/trafficpolicy.h"

#include <string_view>
#include <utility>
#include <vector>

namespace chervilmount::traffic {

/** Look-ups in one version of the policy; not changed after construction. */
class PolicyIndex
{
public:
    /** @param policy a policy that has passed the check. */
    explicit PolicyIndex(TrafficPolicy policy);

    PolicyIndex(const PolicyIndex &) = delete;
    PolicyIndex &operator=(const PolicyIndex &) = delete;
    PolicyIndex(PolicyIndex &&) = delete;
    PolicyIndex &operator=(PolicyIndex &&) = delete;
    ~PolicyIndex() = default;

    const TrafficPolicy &policy() const { return m_policy; }

    /**
     * @param host value of the Host header; a port is ignored, and so is case.
     * @param target request target; the query is ignored.
     * @returns the route with the longest prefix that begins the path, or nullptr.
     */
    const RoutePolicy *findRoute(std::string_view host, std::string_view target) const;

    /**
     * Importance of a request, as a dense number over all pairs in use: the route's priority
     * decides first, then the organisation's.
     * @param organisation nullptr for requests without a key.
     * @returns 0 for the most important requests.
     */
    int importance(const RoutePolicy &route, const OrganisationPolicy *organisation) const;

    /** @returns the route of that name, or nullptr. */
    const RoutePolicy *routeNamed(std::string_view name) const;

    /** @returns the organisation that holds the key, or nullptr. */
    const OrganisationPolicy *findKey(std::string_view key) const;

    /** @returns the service of that name, or nullptr. */
    const ServicePolicy *serviceNamed(std::string_view name) const;

private:
    using PriorityPair = std::pair<int, int>;

    static PriorityPair priorities(const RoutePolicy &route,
                                   const OrganisationPolicy *organisation);

    TrafficPolicy m_policy;
    /** Pairs of priorities in use, the most important first. */
    std::vector<PriorityPair> m_priorities;
    /** Routes of each host in lower case, the longest prefix first. */
    model::StringMap<std::vector<const RoutePolicy *>> m_hosts;
    model::StringMap<const RoutePolicy *> m_routeNames;
    model::StringMap<const OrganisationPolicy *> m_keys;
    model::StringMap<const ServicePolicy *> m_serviceNames;
};

} // namespace chervilmount::traffic
