#include "traffic/allotment/rateholders.h"

#include "routing/rendezvous/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace chervilmount::traffic {

std::vector<std::string> chooseRateHolders(std::span<const RateSharer> sharers,
                                           const std::string &organisation, double burst,
                                           double minimumHolderBurst)
{
    using Ranked = std::pair<std::uint64_t, const RateSharer *>;
    std::map<std::string, std::vector<Ranked>> regions;
    for (const RateSharer &sharer : sharers)
        regions[sharer.m_region].emplace_back(
                routing::rendezvousWeight(organisation, sharer.m_node), &sharer);
    const double part =
            std::min(1.0, burst / minimumHolderBurst / static_cast<double>(sharers.size()));
    std::vector<std::string> holders;
    for (auto &[region, ranked] : regions) {
        const double share = std::floor(static_cast<double>(ranked.size()) * part);
        const std::size_t count = std::max<std::size_t>(1, static_cast<std::size_t>(share));
        std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
            return std::tie(left.first, left.second->m_node)
                    < std::tie(right.first, right.second->m_node);
        });
        for (std::size_t index = 0; index < count; ++index)
            holders.push_back(ranked[index].second->m_node);
    }
    return holders;
}

} // namespace chervilmount::traffic
