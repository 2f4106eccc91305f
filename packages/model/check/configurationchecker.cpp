#include "model/check/configurationchecker.h"

#include "model/check/callgraph.h"
#include "model/check/limits.h"
#include "model/check/routeconflicts.h"
#include "model/json/text.h"
#include "model/request/requestcontext.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace chervilmount::model {

namespace {

// As an integer; the shortest form of the number is 1e+09.
const std::string MaximumRateText = std::to_string(static_cast<std::int64_t>(MaximumRate));

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string rangeRemedy(std::int64_t minimum, std::int64_t maximum)
{
    return "use " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

} // namespace

ConfigurationChecker::ConfigurationChecker(const LocatedConfiguration &set)
    : m_set(set)
    , m_configuration(set.m_configuration)
{
}

CheckResult ConfigurationChecker::check()
{
    checkNames();
    checkPriorities();
    checkServices();
    checkCallGraph();
    checkRoutes();
    checkRouteConflicts();
    checkOrganisations();
    checkKeys();
    return std::move(m_result);
}

void ConfigurationChecker::checkNames()
{
    visitKinds(m_configuration, [this](ObjectKind kind, const auto &objects) {
        Names &names = m_names.at(static_cast<std::size_t>(kind));
        for (std::size_t index = 0; index < objects.size(); ++index) {
            const std::string &name = objects[index].m_name;
            const ValueLocation location{kind, index, "/name"};
            reportFormat(location, name, checkName(name));
            const auto [first, isNew] = names.emplace(name, index);
            if (!isNew)
                report(location, boost::json::value(name),
                       "duplicate: " + locationText(kind, first->second) + " has the same name",
                       "rename or remove one of the two");
        }
    });
    for (std::size_t index = 0; index < m_configuration.m_failureDomains.size(); ++index) {
        const std::string &region = m_configuration.m_failureDomains[index].m_region;
        reportFormat({ObjectKind::FailureDomain, index, "/region"}, region, checkName(region));
    }
}

void ConfigurationChecker::checkPriorities()
{
    for (std::size_t index = 0; index < m_configuration.m_priorities.size(); ++index) {
        const int level = m_configuration.m_priorities[index].m_level;
        if (level < 0 || level >= PriorityLevels)
            reportRange({ObjectKind::Priority, index, "/level"}, level,
                        rangeRemedy(0, PriorityLevels - 1) + "; 0 is the most important");
    }
}

void ConfigurationChecker::checkServices()
{
    for (std::size_t index = 0; index < m_configuration.m_services.size(); ++index) {
        const std::vector<std::string> &calls = m_configuration.m_services[index].m_calls;
        checkRepeated({ObjectKind::Service, index, "/calls"}, calls);
        for (std::size_t call = 0; call < calls.size(); ++call)
            checkReference({ObjectKind::Service, index, "/calls/" + std::to_string(call)},
                           calls[call], ObjectKind::Service);
    }
}

void ConfigurationChecker::checkCallGraph()
{
    const CallGraphProblems problems = findCallGraphProblems(m_configuration.m_services);
    for (const std::vector<std::size_t> &cycle : problems.m_cycles)
        report({ObjectKind::Service, cycle.front(), "/calls"}, nullptr,
               "cycle of service calls: " + pathText(cycle) + " -> "
                       + m_configuration.m_services[cycle.front()].m_name,
               "remove one of these calls");
    for (const std::vector<std::size_t> &path : problems.m_longPaths)
        report({ObjectKind::Service, path.front(), "/calls"}, nullptr,
               "path of service calls is " + std::to_string(path.size())
                       + " calls deep: " + pathText(path),
               "use at most " + std::to_string(MaximumPathDepth) + " calls on a path");
}

void ConfigurationChecker::checkRoutes()
{
    for (std::size_t index = 0; index < m_configuration.m_routes.size(); ++index) {
        checkRoute(index);
        checkOnceOnly(index);
    }
}

void ConfigurationChecker::checkRoute(std::size_t index)
{
    const Route &route = m_configuration.m_routes[index];
    const auto location = [index](std::string path) {
        return ValueLocation{ObjectKind::Route, index, std::move(path)};
    };
    checkReference(location("/service"), route.m_service, ObjectKind::Service);
    checkReference(location("/priority"), route.m_priority, ObjectKind::Priority);
    if (!route.m_host.empty())
        reportFormat(location("/host"), route.m_host, checkHost(route.m_host));
    reportFormat(location("/pathPrefix"), route.m_pathPrefix, checkPathPrefix(route.m_pathPrefix));
    checkRepeated(location("/methods"), route.m_methods);
    for (std::size_t method = 0; method < route.m_methods.size(); ++method)
        reportFormat(location("/methods/" + std::to_string(method)), route.m_methods[method],
                     checkMethod(route.m_methods[method]));
    if (route.m_timeout.count() < 1 || route.m_timeout > MaximumTimeout)
        reportRange(location("/timeoutMilliseconds"), route.m_timeout.count(),
                    rangeRemedy(1, MaximumTimeout.count()));
    if (route.m_extraAttempts < 0 || route.m_extraAttempts > MaximumExtraAttempts)
        reportRange(location("/extraAttempts"), route.m_extraAttempts,
                    rangeRemedy(0, MaximumExtraAttempts));
    if (route.m_maximumBodyBytes > MaximumBodyBytes)
        reportRange(location("/maximumBodyBytes"), route.m_maximumBodyBytes,
                    rangeRemedy(0, MaximumBodyBytes));
}

void ConfigurationChecker::checkOnceOnly(std::size_t index)
{
    const Route &route = m_configuration.m_routes[index];
    if (route.m_execution != Execution::OnceOnly)
        return;
    if (route.m_extraAttempts > MaximumOnceOnlyExtraAttempts)
        report({ObjectKind::Route, index, "/extraAttempts"}, route.m_extraAttempts,
               "once-only route with retries (" + std::to_string(Route().m_extraAttempts)
                       + " extra attempts is the default)",
               "state 0, or 1 to re-send once after a proven \"not run\"");
    if (route.m_open)
        report({ObjectKind::Route, index, "/open"}, true,
               "once-only route without key; a once-only request is claimed for the organisation "
               "of its key",
               "use \"open\": false or \"execution\": \"idempotent\"");
}

void ConfigurationChecker::checkRouteConflicts()
{
    for (const RouteConflict &conflict : findRouteConflicts(m_configuration.m_routes)) {
        std::string others;
        for (const std::size_t other : conflict.m_shadowedBy)
            others += (others.empty() ? "" : ", ") + quoted(m_configuration.m_routes[other].m_name)
                    + " (" + locationText(ObjectKind::Route, other) + ")";
        std::string methods;
        for (const std::string &method : conflict.m_methods)
            methods += (methods.empty() ? "" : ", ") + method;
        const Route &route = m_configuration.m_routes[conflict.m_route];
        report({ObjectKind::Route, conflict.m_route, "/pathPrefix"},
               boost::json::value(route.m_pathPrefix),
               conflict.m_isUnreachable
                       ? "unreachable route: all of its requests match " + others
                       : "shadowed route: " + methods + " requests match " + others,
               "give each route a host, path prefix and methods of its own");
    }
}

void ConfigurationChecker::checkOrganisations()
{
    for (std::size_t index = 0; index < m_configuration.m_organisations.size(); ++index) {
        const Organisation &organisation = m_configuration.m_organisations[index];
        const auto location = [index](std::string path) {
            return ValueLocation{ObjectKind::Organisation, index, std::move(path)};
        };
        if (!(organisation.m_rate > 0 && organisation.m_rate <= MaximumRate))
            reportRange(location("/rate"), organisation.m_rate,
                        "use more than 0 and at most " + MaximumRateText + " requests a second");
        if (!(organisation.m_burst >= 1 && organisation.m_burst <= MaximumRate))
            reportRange(location("/burst"), organisation.m_burst,
                        "use 1 to " + MaximumRateText + " requests");
        checkShares(index);
        noteSmallBurst(index);
        const std::chrono::seconds period = organisation.m_servesWithoutProof;
        if (period.count() < 0 || period > MaximumServesWithoutProof)
            reportRange(location("/servesWithoutProofSeconds"), period.count(),
                        rangeRemedy(0, MaximumServesWithoutProof.count()));
        else if (period.count() > 0)
            note(location("/servesWithoutProofSeconds"), period.count(),
                 "withdrawn keys of organisation " + quoted(organisation.m_name)
                         + " can work for up to " + std::to_string(period.count())
                         + " s in a failure domain that is cut off",
                 "use 0 if a withdrawn key must stop working within seconds everywhere");
    }
}

void ConfigurationChecker::checkShares(std::size_t index)
{
    const Organisation &organisation = m_configuration.m_organisations[index];
    std::unordered_set<std::string_view> domains;
    double sum = 0;
    for (std::size_t position = 0; position < organisation.m_shares.size(); ++position) {
        const BaseShare &share = organisation.m_shares[position];
        const std::string path = "/shares/" + std::to_string(position);
        checkReference({ObjectKind::Organisation, index, path + "/failureDomain"},
                       share.m_failureDomain, ObjectKind::FailureDomain);
        if (!domains.insert(share.m_failureDomain).second)
            report({ObjectKind::Organisation, index, path + "/failureDomain"},
                   boost::json::value(share.m_failureDomain),
                   "duplicate: the failure domain has a share already", "remove one of the two");
        if (!(share.m_fraction >= 0 && share.m_fraction <= 1))
            reportRange({ObjectKind::Organisation, index, path + "/fraction"}, share.m_fraction,
                        rangeRemedy(0, 1));
        else
            sum += share.m_fraction;
    }
    if (sum > 1 + ShareSumTolerance)
        report({ObjectKind::Organisation, index, "/shares"}, sum,
               "the base shares sum to more than 1", "use fractions that sum to at most 1");
}

void ConfigurationChecker::noteSmallBurst(std::size_t index)
{
    const Organisation &organisation = m_configuration.m_organisations[index];
    const std::size_t domains = m_configuration.m_failureDomains.size();
    double smallest = domains == 0 ? 1.0 : 1.0 / static_cast<double>(domains);
    if (!organisation.m_shares.empty())
        smallest = 1.0;
    for (const BaseShare &share : organisation.m_shares) {
        if (share.m_fraction > 0)
            smallest = std::min(smallest, share.m_fraction);
    }
    if (organisation.m_burst >= 1 && organisation.m_burst * smallest < 1)
        note({ObjectKind::Organisation, index, "/burst"}, organisation.m_burst,
             "the smallest share of the burst in a failure domain is less than one request, so "
             "that requests there wait for tokens borrowed from other domains",
             "use a burst of at least " + toText(boost::json::value(std::ceil(1 / smallest))));
}

void ConfigurationChecker::checkKeys()
{
    std::unordered_map<std::string_view, std::size_t> digests;
    for (std::size_t index = 0; index < m_configuration.m_keys.size(); ++index) {
        const Key &key = m_configuration.m_keys[index];
        checkReference({ObjectKind::Key, index, "/organisation"}, key.m_organisation,
                       ObjectKind::Organisation);
        const ValueLocation location{ObjectKind::Key, index, "/digest"};
        const FormatProblem problem = checkDigest(key.m_digest);
        if (!problem.isEmpty()) {
            reportFormat(location, key.m_digest, problem);
            continue;
        }
        const auto [first, isNew] = digests.emplace(key.m_digest, index);
        if (isNew)
            continue;
        const Key &other = m_configuration.m_keys[first->second];
        const std::string otherText =
                quoted(other.m_name) + " (" + locationText(ObjectKind::Key, first->second) + ")";
        if (other.m_organisation == key.m_organisation)
            report(location, boost::json::value(key.m_digest),
                   "duplicate: key " + otherText + " has the same digest", "remove one of the two");
        else
            report(location, boost::json::value(key.m_digest),
                   "key shared by two organisations: key " + otherText + " of organisation "
                           + quoted(other.m_organisation) + " has the same digest",
                   "give each organisation a key of its own");
    }
}

void ConfigurationChecker::report(const ValueLocation &location, const boost::json::value &value,
                                  std::string problem, std::string remedy)
{
    m_result.m_findings.push_back(finding(location, value, std::move(problem), std::move(remedy)));
}

void ConfigurationChecker::note(const ValueLocation &location, const boost::json::value &value,
                                std::string problem, std::string remedy)
{
    m_result.m_notes.push_back(finding(location, value, std::move(problem), std::move(remedy)));
}

void ConfigurationChecker::reportFormat(const ValueLocation &location, std::string_view value,
                                        const FormatProblem &problem)
{
    if (!problem.isEmpty())
        report(location, boost::json::value(value), problem.m_problem, problem.m_remedy);
}

void ConfigurationChecker::reportRange(const ValueLocation &location,
                                       const boost::json::value &value, const std::string &remedy)
{
    report(location, value, "out of range", remedy);
}

void ConfigurationChecker::checkReference(const ValueLocation &location, std::string_view name,
                                          ObjectKind target)
{
    if (m_names.at(static_cast<std::size_t>(target)).contains(name))
        return;
    report(location, boost::json::value(name),
           "dangling reference: there is no " + std::string(kindName(target)) + " " + quoted(name),
           "correct the name or add the " + std::string(kindName(target)));
}

void ConfigurationChecker::checkRepeated(const ValueLocation &location,
                                         const std::vector<std::string> &strings)
{
    std::unordered_set<std::string_view> seen;
    for (std::size_t index = 0; index < strings.size(); ++index) {
        if (!seen.insert(strings[index]).second)
            report({location.m_kind, location.m_index,
                    location.m_path + "/" + std::to_string(index)},
                   boost::json::value(strings[index]), "duplicate: the list has this value already",
                   "remove one of the two");
    }
}

Finding ConfigurationChecker::finding(const ValueLocation &location,
                                      const boost::json::value &value, std::string problem,
                                      std::string remedy) const
{
    const SourceLocation &object = m_set.m_locations.of(location.m_kind).at(location.m_index);
    return {object.m_source, object.m_pointer + location.m_path,
            value.is_null() ? "" : excerpt(value), std::move(problem), std::move(remedy)};
}

std::string ConfigurationChecker::locationText(ObjectKind kind, std::size_t index) const
{
    const SourceLocation &location = m_set.m_locations.of(kind).at(index);
    return location.m_source + "#" + location.m_pointer;
}

std::string ConfigurationChecker::pathText(const std::vector<std::size_t> &services) const
{
    std::string text;
    for (const std::size_t service : services)
        text += (text.empty() ? "" : " -> ") + m_configuration.m_services[service].m_name;
    return text;
}

} // namespace chervilmount::model
