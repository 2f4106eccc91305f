#pragma once

#include "model/configuration/objectkind.h"
#include "model/version/configurationdelta.h"

namespace chervilmount::model {

/** Calls @p visit(kind, put, removed) for the changes of each kind in canonical order. */
template<typename Delta, typename Visit>
void visitChanges(Delta &delta, Visit visit)
{
    visit(ObjectKind::FailureDomain, delta.m_put.m_failureDomains, delta.m_removedFailureDomains);
    visit(ObjectKind::Priority, delta.m_put.m_priorities, delta.m_removedPriorities);
    visit(ObjectKind::Service, delta.m_put.m_services, delta.m_removedServices);
    visit(ObjectKind::Route, delta.m_put.m_routes, delta.m_removedRoutes);
    visit(ObjectKind::Organisation, delta.m_put.m_organisations, delta.m_removedOrganisations);
    visit(ObjectKind::Key, delta.m_put.m_keys, delta.m_removedKeys);
}

} // namespace chervilmount::model
