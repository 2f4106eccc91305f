#include "model/index/configurationindex.h"

namespace chervilmount::model {

namespace {

template<typename Object>
StringMap<Object> byName(const std::vector<Object> &objects)
{
    StringMap<Object> map;
    for (const Object &object : objects)
        map.emplace(object.m_name, object);
    return map;
}

template<typename Object>
const Object *findNamed(const StringMap<Object> &map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

ConfigurationIndex::ConfigurationIndex(const VersionedConfiguration &set)
    : m_version(set.version())
    , m_routes(set.configuration().m_routes)
    , m_keys(set.configuration().m_keys)
    , m_organisations(byName(set.configuration().m_organisations))
    , m_services(byName(set.configuration().m_services))
    , m_priorities(byName(set.configuration().m_priorities))
    , m_failureDomains(byName(set.configuration().m_failureDomains))
{
}

const Organisation *ConfigurationIndex::organisation(std::string_view name) const
{
    return findNamed(m_organisations, name);
}

const Service *ConfigurationIndex::service(std::string_view name) const
{
    return findNamed(m_services, name);
}

const Priority *ConfigurationIndex::priority(std::string_view name) const
{
    return findNamed(m_priorities, name);
}

const FailureDomain *ConfigurationIndex::failureDomain(std::string_view name) const
{
    return findNamed(m_failureDomains, name);
}

} // namespace chervilmount::model
