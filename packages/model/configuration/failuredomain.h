#pragma once

#include <string>

namespace chervilmount::model {

/** A group of instances that can fail or be cut off together. */
struct FailureDomain
{
    std::string m_name;
    /** Region the failure domain lies in; links between regions are paid by volume. */
    std::string m_region;
};

} // namespace chervilmount::model
