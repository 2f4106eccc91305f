#pragma once

#include "model/configuration/failuredomain.h"
#include "model/configuration/key.h"
#include "model/configuration/organisation.h"
#include "model/configuration/priority.h"
#include "model/configuration/route.h"
#include "model/configuration/service.h"

#include <vector>

namespace chervilmount::model {

/** All named objects that operators publish together; versioned and checked as a whole. */
struct Configuration
{
    std::vector<FailureDomain> m_failureDomains;
    std::vector<Priority> m_priorities;
    std::vector<Service> m_services;
    std::vector<Route> m_routes;
    std::vector<Organisation> m_organisations;
    std::vector<Key> m_keys;
};

} // namespace chervilmount::model
