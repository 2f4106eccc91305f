#include "membership/ring/bridgeset.h"

#include "membership/ring/ringset.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

/** Ring number that seeds the hash for bridges, so that they are chosen independently of the rings.
 */
constexpr std::size_t BridgeRing = 1000;

bool areLinked(std::size_t lowerRank, std::size_t higherRank, std::size_t links)
{
    return (higherRank + BridgesPerDomain - lowerRank) % BridgesPerDomain < links;
}

} // namespace

bool BridgeSet::insert(const std::string &failureDomain, NodeKey key)
{
    std::vector<Position> &bridges = m_domains[failureDomain];
    const Position position{ringPosition(BridgeRing, key), key};
    const auto place = std::lower_bound(bridges.begin(), bridges.end(), position);
    if (place != bridges.end() && *place == position)
        return false;
    if (place == bridges.end() && bridges.size() == BridgesPerDomain)
        return false;
    bridges.insert(place, position);
    if (bridges.size() > BridgesPerDomain)
        bridges.pop_back();
    return true;
}

bool BridgeSet::remove(const std::string &failureDomain, NodeKey key, const MemberTable &table)
{
    if (!isBridge(failureDomain, key))
        return false;
    m_domains[failureDomain].clear();
    table.forEachKey([&](NodeKey other, MemberState state, const std::string &domain) {
        if (isPresent(state) && other != key && domain == failureDomain)
            insert(domain, other);
    });
    if (m_domains[failureDomain].empty())
        m_domains.erase(failureDomain);
    return true;
}

std::vector<NodeKey> BridgeSet::bridgesOf(const std::string &failureDomain) const
{
    std::vector<NodeKey> keys;
    const auto found = m_domains.find(failureDomain);
    if (found == m_domains.end())
        return keys;
    for (const Position &position : found->second)
        keys.push_back(position.second);
    return keys;
}

bool BridgeSet::isBridge(const std::string &failureDomain, NodeKey key) const
{
    const auto found = m_domains.find(failureDomain);
    if (found == m_domains.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [key](const Position &position) { return position.second == key; });
}

std::vector<NodeKey> BridgeSet::remoteLinks(const std::string &failureDomain, NodeKey key,
                                            std::size_t linksPerDomain) const
{
    std::vector<NodeKey> links;
    const std::vector<NodeKey> own = bridgesOf(failureDomain);
    const auto self = std::find(own.begin(), own.end(), key);
    if (self == own.end())
        return links;
    const std::size_t rank = static_cast<std::size_t>(self - own.begin());
    for (const auto &[domain, bridges] : m_domains) {
        if (domain == failureDomain)
            continue;
        const bool all = own.size() < BridgesPerDomain || bridges.size() < BridgesPerDomain;
        for (std::size_t other = 0; other < bridges.size(); ++other) {
            const bool linked = failureDomain < domain ? areLinked(rank, other, linksPerDomain)
                                                       : areLinked(other, rank, linksPerDomain);
            if (all || linked)
                links.push_back(bridges[other].second);
        }
    }
    return links;
}

} // namespace chervilmount::membership
