#include "node/control/configurationstate.h"

#include "adapters/http/httpmessage.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size()
            || path[prefix.size()] == '/';
}

bool matches(const model::Route &route, std::string_view host, std::string_view method,
             std::string_view path)
{
    if (!route.m_host.empty() && !adapters::equalNames(route.m_host, host))
        return false;
    if (!route.m_methods.empty()
        && std::find(route.m_methods.begin(), route.m_methods.end(), method)
                == route.m_methods.end())
        return false;
    return matchesPrefix(path, route.m_pathPrefix);
}

} // namespace

std::shared_ptr<const ConfigurationVersion> makeVersion(std::uint64_t version, std::string hash,
                                                        std::string text, model::Configuration set)
{
    auto result = std::make_shared<ConfigurationVersion>();
    result->m_version = version;
    result->m_hash = std::move(hash);
    result->m_text = std::move(text);
    result->m_set = std::move(set);
    for (const model::Key &key : result->m_set.m_keys)
        result->m_organisationByDigest.emplace(key.m_digest, key.m_organisation);
    for (const model::Priority &priority : result->m_set.m_priorities)
        result->m_levelByPriority.emplace(priority.m_name, priority.m_level);
    return result;
}

const model::Route *findRoute(const ConfigurationVersion &configuration, std::string_view host,
                              std::string_view method, std::string_view target)
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    const std::string_view path = target.substr(0, target.find('?'));
    const model::Route *best = nullptr;
    for (const model::Route &route : configuration.m_set.m_routes) {
        if (!matches(route, name, method, path))
            continue;
        const bool longer =
                best == nullptr || route.m_pathPrefix.size() > best->m_pathPrefix.size();
        const bool moreSpecific = best != nullptr
                && route.m_pathPrefix.size() == best->m_pathPrefix.size() && best->m_host.empty()
                && !route.m_host.empty();
        if (longer || moreSpecific)
            best = &route;
    }
    return best;
}

bool ConfigurationState::install(std::shared_ptr<const ConfigurationVersion> version)
{
    if (m_current && version->m_version <= m_current->m_version)
        return false;
    m_current = std::move(version);
    return true;
}

} // namespace chervilmount::node
