#include "membership/bootstrap/seedrow.h"

namespace chervilmount::membership {

std::string seedRowName(const SeedRow &row)
{
    return SeedPrefix + row.m_failureDomain + "/" + std::to_string(row.m_index);
}

} // namespace chervilmount::membership
