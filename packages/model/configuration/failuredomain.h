#pragma once

#include <string>

namespace chervilmount::model {

/** A group of instances that can fail or be cut off together. */
struct FailureDomain
{
    std::string m_name;
    /** Region of the failure domain; traffic between regions is charged by volume. */
    std::string m_region;
};

} // namespace chervilmount::model
