#pragma once

#include "model/index/routetable.h"
#include "traffic/policy/trafficpolicy.h"

#include <string_view>
#include <utility>
#include <vector>

namespace chervilmount::traffic {

/** Immutable lookup index of one version of the policy. */
class PolicyIndex
{
public:
    /** @param policy a policy that has passed checkPolicy(). */
    explicit PolicyIndex(TrafficPolicy policy);

    PolicyIndex(const PolicyIndex &) = delete;
    PolicyIndex &operator=(const PolicyIndex &) = delete;
    PolicyIndex(PolicyIndex &&) = delete;
    PolicyIndex &operator=(PolicyIndex &&) = delete;
    ~PolicyIndex() = default;

    const TrafficPolicy &policy() const { return m_policy; }

    /**
     * @param host value of the Host header; case and port are ignored.
     * @param target request target; the query is ignored.
     * @returns the route with the longest matching path prefix, or nullptr.
     */
    const RoutePolicy *findRoute(std::string_view host, std::string_view target) const;

    /**
     * Maps the priorities of route and organisation to one rank, without gaps over all pairs in
     * use. The route's priority is compared first, then the organisation's.
     * @param organisation nullptr for requests without a key.
     * @returns the rank; 0 for the most important requests.
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
    /** Priority pairs in use, most important first. */
    std::vector<PriorityPair> m_priorities;
    /** Routes by lower-case host name, longest prefix first. */
    model::StringMap<std::vector<const RoutePolicy *>> m_hosts;
    model::StringMap<const RoutePolicy *> m_routeNames;
    model::StringMap<const OrganisationPolicy *> m_keys;
    model::StringMap<const ServicePolicy *> m_serviceNames;
};

} // namespace chervilmount::traffic
