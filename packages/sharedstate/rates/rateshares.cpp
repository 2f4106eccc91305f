#include "sharedstate/rates/rateshares.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace chervilmount::sharedstate {

namespace {

/** FNV-1a hash; every node maps organisations to the leases of a domain in the same way. */
std::uint32_t hashOf(const std::string &text)
{
    std::uint32_t hash = 2166136261U;
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
    return hash;
}

double fractionOf(const model::Organisation &organisation, const std::string &failureDomain,
                  std::size_t count)
{
    if (organisation.m_shares.empty())
        return 1.0 / static_cast<double>(count);
    double fraction = 0.0;
    for (const model::BaseShare &share : organisation.m_shares)
        fraction += share.m_failureDomain == failureDomain ? share.m_fraction : 0.0;
    return fraction;
}

/** Rounds to whole tokens by the largest remainder method. */
std::vector<int> wholeCaps(const std::vector<double> &wanted)
{
    std::vector<int> caps;
    std::vector<std::size_t> order;
    double total = 0.0;
    int given = 0;
    for (std::size_t index = 0; index < wanted.size(); ++index) {
        caps.push_back(static_cast<int>(wanted[index] + 1e-9));
        order.push_back(index);
        total += wanted[index];
        given += caps.back();
    }
    std::stable_sort(order.begin(), order.end(), [&wanted](std::size_t first, std::size_t second) {
        return wanted[first] - std::floor(wanted[first] + 1e-9)
                > wanted[second] - std::floor(wanted[second] + 1e-9);
    });
    for (std::size_t index = 0; index < order.size() && given + 1 <= total + 1e-9; ++index) {
        if (wanted[order[index]] <= 0)
            continue;
        ++caps[order[index]];
        ++given;
    }
    return caps;
}

/** Chooses the number of groups so that each has at least 8 tokens and one grant cannot empty it.
 */
int groupCount(int cap)
{
    constexpr int SmallestCap = 8;
    if (cap >= SmallestCap * MaximumRateGroups)
        return MaximumRateGroups;
    return cap >= SmallestCap * 2 ? 2 : 1;
}

} // namespace

std::string rateLease(const std::string &failureDomain, int number)
{
    return "rates/" + failureDomain + "/" + std::to_string(number);
}

std::map<std::string, RateShare>
groupShares(const model::Organisation &organisation,
            const std::vector<model::FailureDomain> &failureDomains)
{
    std::vector<double> fractions;
    std::vector<double> bursts;
    for (const model::FailureDomain &domain : failureDomains) {
        fractions.push_back(fractionOf(organisation, domain.m_name, failureDomains.size()));
        bursts.push_back(organisation.m_burst * fractions.back());
    }
    const std::vector<int> caps = wholeCaps(bursts);
    double total = 0.0;
    double usable = 0.0;
    for (std::size_t index = 0; index < fractions.size(); ++index) {
        total += fractions[index];
        usable += caps[index] > 0 ? fractions[index] : 0.0;
    }
    std::map<std::string, RateShare> shares;
    const std::uint32_t hash = hashOf(organisation.m_name);
    for (std::size_t index = 0; index < fractions.size(); ++index) {
        if (caps[index] == 0)
            continue;
        const int count = groupCount(caps[index]);
        const double rate = organisation.m_rate * total * fractions[index] / usable;
        for (int group = 0; group < count; ++group) {
            const int number = static_cast<int>((hash + static_cast<std::uint32_t>(group))
                                                % RateLeasesPerDomain);
            const int cap = caps[index] / count + (group < caps[index] % count ? 1 : 0);
            shares[rateLease(failureDomains[index].m_name, number)] = {rate / count, double(cap)};
        }
    }
    return shares;
}

GroupPlan planOf(const std::map<std::string, RateShare> &shares, const std::string &group)
{
    GroupPlan plan;
    const std::map<std::string, RateShare>::const_iterator own = shares.find(group);
    if (own != shares.end())
        plan.m_share = own->second;
    const std::string domain = group.substr(0, group.rfind('/') + 1);
    for (const bool sameDomain : {true, false}) {
        for (const auto &[name, share] : shares) {
            if (name != group && name.starts_with(domain) == sameDomain)
                plan.m_lenders.push_back(name);
        }
    }
    return plan;
}

} // namespace chervilmount::sharedstate
