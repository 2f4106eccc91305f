#pragma once

#include "model/configuration/configuration.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace chervilmount::model {

/** The kinds of objects of a configuration, in canonical order. */
enum class ObjectKind { FailureDomain, Priority, Service, Route, Organisation, Key };

/** Number of kinds of objects. */
constexpr std::size_t ObjectKindCount = 6;

/** @returns the field of the JSON document that holds the objects of a kind, e.g. "routes". */
constexpr std::string_view sectionName(ObjectKind kind)
{
    constexpr std::array<std::string_view, ObjectKindCount> Names{
            "failureDomains", "priorities", "services", "routes", "organisations", "keys"};
    return Names.at(static_cast<std::size_t>(kind));
}

/** @returns the word for one object of a kind, e.g. "route". */
constexpr std::string_view kindName(ObjectKind kind)
{
    constexpr std::array<std::string_view, ObjectKindCount> Names{
            "failure domain", "priority", "service", "route", "organisation", "key"};
    return Names.at(static_cast<std::size_t>(kind));
}

/**
 * Calls @p visit(kind, objects) for the vector of each kind in canonical order.
 *
 * @tparam Set Configuration or const Configuration.
 */
template<typename Set, typename Visit>
void visitKinds(Set &configuration, Visit visit)
{
    visit(ObjectKind::FailureDomain, configuration.m_failureDomains);
    visit(ObjectKind::Priority, configuration.m_priorities);
    visit(ObjectKind::Service, configuration.m_services);
    visit(ObjectKind::Route, configuration.m_routes);
    visit(ObjectKind::Organisation, configuration.m_organisations);
    visit(ObjectKind::Key, configuration.m_keys);
}

} // namespace chervilmount::model
