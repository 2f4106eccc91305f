#pragma once

#include "model/index/keytable.h"
#include "model/index/routetable.h"
#include "model/version/versionedconfiguration.h"

#include <string_view>
#include <vector>

namespace chervilmount::model {

/** Immutable look-up tables for one version of the configuration. */
class ConfigurationIndex
{
public:
    /** @param set a version of the configuration that has passed the check. */
    explicit ConfigurationIndex(const VersionedConfiguration &set);

    const ConfigurationVersion &version() const { return m_version; }
    const RouteTable &routes() const { return m_routes; }
    const KeyTable &keys() const { return m_keys; }

    /** Finds an object by its name. @returns nullptr if there is none. @{ */
    const Organisation *organisation(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Priority *priority(std::string_view name) const;
    const FailureDomain *failureDomain(std::string_view name) const;
    /** @} */

private:
    ConfigurationVersion m_version;
    RouteTable m_routes;
    KeyTable m_keys;
    StringMap<Organisation> m_organisations;
    StringMap<Service> m_services;
    StringMap<Priority> m_priorities;
    StringMap<FailureDomain> m_failureDomains;
};

} // namespace chervilmount::model
