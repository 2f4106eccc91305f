#include "traffic/policy/policycheck.h"

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace chervilmount::traffic {

namespace {

class PolicyChecker
{
public:
    PolicyChecker(const TrafficPolicy &policy, const std::string &source)
        : m_policy(policy)
        , m_source(source)
    {
        for (const ServicePolicy &service : policy.m_services)
            m_services.insert(service.m_name);
    }

    model::Findings check()
    {
        for (std::size_t index = 0; index < m_policy.m_routes.size(); ++index)
            checkRoute(m_policy.m_routes[index], "/routes/" + std::to_string(index));
        for (std::size_t index = 0; index < m_policy.m_organisations.size(); ++index)
            checkOrganisation(m_policy.m_organisations[index],
                              "/organisations/" + std::to_string(index));
        return std::move(m_findings);
    }

private:
    void report(const std::string &pointer, const std::string &value, const std::string &problem,
                const std::string &remedy)
    {
        m_findings.push_back({m_source, pointer, value, problem, remedy});
    }

    void checkRoute(const RoutePolicy &route, const std::string &pointer)
    {
        if (route.m_prefix.empty() || route.m_prefix.front() != '/' || route.m_prefix.back() != '/')
            report(pointer + "/prefix", route.m_prefix, "not a path prefix",
                   "begin and end it with a slash");
        if (!m_routeKeys.emplace(route.m_host, route.m_prefix).second)
            report(pointer + "/prefix", route.m_prefix, "another route has this host and prefix",
                   "remove one of the two");
        if (route.m_timeout.count() <= 0)
            report(pointer + "/timeout", std::to_string(route.m_timeout.count()), "out of range",
                   "use more than 0 ms");
        if (route.m_maximumAttempts < 1)
            report(pointer + "/maximumAttempts", std::to_string(route.m_maximumAttempts),
                   "out of range", "use 1 or more");
        double sum = 0;
        for (const SplitPart &part : route.m_parts) {
            if (!m_services.contains(part.m_service))
                report(pointer + "/parts", part.m_service, "unknown service",
                       "correct the name or add the service");
            if (!(part.m_weight >= 0))
                report(pointer + "/parts", std::to_string(part.m_weight), "negative weight",
                       "use 0 or more");
            sum += part.m_weight;
        }
        if (!(sum > 0))
            report(pointer + "/parts", std::to_string(sum), "no part with a weight",
                   "give at least one service a weight above 0");
    }

    void checkOrganisation(const OrganisationPolicy &organisation, const std::string &pointer)
    {
        if (!(organisation.m_rate >= 0) || !(organisation.m_burst >= 0))
            report(pointer + "/rate", std::to_string(organisation.m_rate), "out of range",
                   "use 0 or more requests a second");
        for (const std::string &key : organisation.m_keys) {
            const auto [holder, isNew] = m_keys.emplace(key, organisation.m_name);
            // The key itself is secret and does not appear in the finding.
            if (!isNew && holder->second != organisation.m_name)
                report(pointer + "/keys", organisation.m_name,
                       "key shared with organisation " + holder->second,
                       "give each organisation keys of its own");
        }
    }

    const TrafficPolicy &m_policy;
    const std::string &m_source;
    std::unordered_set<std::string> m_services;
    std::set<std::pair<std::string, std::string>> m_routeKeys;
    std::unordered_map<std::string, std::string> m_keys;
    model::Findings m_findings;
};

} // namespace

model::Findings checkPolicy(const TrafficPolicy &policy, const std::string &source)
{
    return PolicyChecker(policy, source).check();
}

} // namespace chervilmount::traffic
