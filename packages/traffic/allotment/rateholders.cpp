#include "traffic/allotment/rateholders.h"

#include "routing/rendezvous/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

namespace chervilmount::traffic {

namespace {

/** A node with what orders it among all nodes. */
struct Ranked
{
    /** Rank among the nodes of its region. */
    std::size_t m_rankInRegion = 0;
    std::uint64_t m_weight = 0;
    const std::string *m_node = nullptr;

    bool operator<(const Ranked &other) const
    {
        return std::tie(m_rankInRegion, m_weight, *m_node)
                < std::tie(other.m_rankInRegion, other.m_weight, *other.m_node);
    }
};

} // namespace

std::vector<std::string> chooseRateHolders(std::span<const RateSharer> sharers,
                                           const std::string &organisation, double burst,
                                           double minimumHolderBurst)
{
    std::map<std::string, std::vector<Ranked>> regions;
    for (const RateSharer &sharer : sharers)
        regions[sharer.m_region].push_back(
                {0, routing::rendezvousWeight(organisation, sharer.m_node), &sharer.m_node});
    std::vector<Ranked> ranked;
    for (auto &[region, nodes] : regions) {
        std::sort(nodes.begin(), nodes.end());
        for (std::size_t rank = 0; rank < nodes.size(); ++rank) {
            nodes[rank].m_rankInRegion = rank;
            ranked.push_back(nodes[rank]);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    const double most =
            std::min(static_cast<double>(ranked.size()), std::floor(burst / minimumHolderBurst));
    const std::size_t count =
            std::max(regions.size(), static_cast<std::size_t>(std::max(0.0, most)));
    std::vector<std::string> holders;
    for (std::size_t index = 0; index < count; ++index)
        holders.push_back(*ranked[index].m_node);
    return holders;
}

} // namespace chervilmount::traffic
