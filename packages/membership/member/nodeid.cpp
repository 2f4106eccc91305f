#include "membership/member/nodeid.h"

#include <xxhash.h>

namespace chervilmount::membership {

NodeKey keyOf(std::string_view failureDomain, std::string_view address)
{
    const std::uint64_t domainHash = XXH3_64bits(failureDomain.data(), failureDomain.size());
    return XXH3_64bits_withSeed(address.data(), address.size(), domainHash);
}

NodeKey keyOf(const NodeId &id)
{
    return keyOf(id.m_failureDomain, id.m_address);
}

} // namespace chervilmount::membership
