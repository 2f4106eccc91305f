#include "routing/subset/subset.h"

#include "routing/rendezvous/rendezvous.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chervilmount::routing {

namespace {

/** A member with its rendezvous weight for this caller. */
struct Weighted
{
    std::uint64_t m_weight = 0;
    const Member *m_member = nullptr;
};

std::array<std::size_t, Places> divide(const std::array<std::vector<Weighted>, Places> &groups,
                                       std::size_t size)
{
    const std::array<std::size_t, Places> shares{size - 2 * (size / 4), size / 4, size / 4};
    std::array<std::size_t, Places> taken{};
    std::size_t left = size;
    for (std::size_t place = 0; place < Places; ++place) {
        taken[place] = std::min(shares[place], groups[place].size());
        left -= taken[place];
    }
    for (std::size_t place = 0; place < Places; ++place) {
        const std::size_t more = std::min(left, groups[place].size() - taken[place]);
        taken[place] += more;
        left -= more;
    }
    return taken;
}

} // namespace

std::vector<Member> chooseSubset(std::span<const Member> members, std::string_view callerId,
                                 std::size_t size)
{
    std::array<std::vector<Weighted>, Places> groups;
    for (const Member &member : members) {
        if (!member.m_excluded)
            groups[static_cast<std::size_t>(member.m_place)].push_back(
                    {rendezvousWeight(callerId, member.m_nodeId), &member});
    }
    const std::array<std::size_t, Places> taken = divide(groups, size);
    std::vector<Member> subset;
    for (std::size_t place = 0; place < Places; ++place) {
        std::vector<Weighted> &group = groups[place];
        std::sort(group.begin(), group.end(), [](const Weighted &left, const Weighted &right) {
            return std::pair(right.m_weight, left.m_member->m_nodeId)
                    < std::pair(left.m_weight, right.m_member->m_nodeId);
        });
        for (std::size_t index = 0; index < taken[place]; ++index)
            subset.push_back(*group[index].m_member);
    }
    return subset;
}

void replaceCandidates(ServiceCandidates &candidates, std::span<const Member> subset,
                       std::chrono::steady_clock::time_point now)
{
    std::vector<Candidate> replaced;
    replaced.reserve(subset.size());
    for (const Member &member : subset) {
        const std::vector<Candidate>::iterator known =
                std::find_if(candidates.m_candidates.begin(), candidates.m_candidates.end(),
                             [&member](const Candidate &other) {
                                 return other.m_member.m_nodeId == member.m_nodeId;
                             });
        Candidate candidate;
        candidate.m_appearedAt = now;
        if (known != candidates.m_candidates.end())
            candidate = std::move(*known);
        candidate.m_member = member;
        replaced.push_back(std::move(candidate));
    }
    candidates.m_candidates = std::move(replaced);
}

} // namespace chervilmount::routing
