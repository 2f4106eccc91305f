#pragma once

#include <string>
#include <vector>

namespace chervilmount::model {

/** A service: a set of interchangeable backend servers. */
struct Service
{
    std::string m_name;
    /** Names of the services that this service calls. */
    std::vector<std::string> m_calls;
};

} // namespace chervilmount::model
