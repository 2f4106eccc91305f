#pragma once

#include "membership/member/nodeid.h"
#include "membership/table/membertable.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervilmount::membership {

/** Bridges of each failure domain: its present members with the lowest hash. */
constexpr std::size_t BridgesPerDomain = 3;

/**
 * Number of failure domains up to which all bridges are linked to each other. With 10 domains and
 * all links, a bridge would send 6.4 KB/s of membership messages and 8.5 KB/s of freshness
 * attestations, above the bound of 10 KB/s.
 */
constexpr std::size_t MostFullyLinkedDomains = 5;

/** The current bridges of every failure domain. */
class BridgeSet
{
public:
    /** Adds a member that became present. @returns true if the bridges changed. */
    bool insert(const std::string &failureDomain, NodeKey key);

    /**
     * Removes a member that is no longer present. Scans the table if it was a bridge, which is rare
     * in large domains. @returns true if the bridges changed.
     */
    bool remove(const std::string &failureDomain, NodeKey key, const MemberTable &table);

    /** Returns the bridges of a failure domain in order of rank. */
    std::vector<NodeKey> bridgesOf(const std::string &failureDomain) const;

    /**
     * Returns the bridges of other domains to which the given node is linked; empty if it is not a
     * bridge. Both ends compute the same links.
     * @param linksPerDomain links of one bridge to each other domain, 1 to BridgesPerDomain.
     */
    std::vector<NodeKey> remoteLinks(const std::string &failureDomain, NodeKey key,
                                     std::size_t linksPerDomain) const;

    /** Returns the number of failure domains with bridges. */
    std::size_t domainCount() const { return m_domains.size(); }

    /** Returns true if the node is a bridge of its failure domain. */
    bool isBridge(const std::string &failureDomain, NodeKey key) const;

private:
    using Position = std::pair<std::uint64_t, NodeKey>;

    std::map<std::string, std::vector<Position>> m_domains;
};

} // namespace chervilmount::membership
