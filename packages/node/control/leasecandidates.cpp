#include "node/control/leasecandidates.h"

#include "routing/rendezvous/rendezvous.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using Members = std::vector<sharedstate::NodeReference>;

std::map<std::string, Members> servingByDomain(const membership::MembershipState &state,
                                               std::chrono::steady_clock::time_point now)
{
    std::map<std::string, Members> domains;
    const membership::MemberRecord &self = state.m_self;
    const auto add = [&domains](const membership::MemberRecord &record) {
        domains[record.m_id.m_failureDomain].push_back(
                {record.m_id.m_address, record.m_incarnation});
    };
    membership::forEachRoutable(state, now, [&](const membership::MemberRecord &record) {
        if (record.m_id != self.m_id)
            add(record);
    });
    if (self.m_state == membership::MemberState::Serving)
        add(self);
    return domains;
}

Members topCandidates(const std::string &lease, const Members &members)
{
    std::vector<std::pair<std::uint64_t, const sharedstate::NodeReference *>> ranked;
    for (const sharedstate::NodeReference &member : members)
        ranked.emplace_back(routing::rendezvousWeight(lease, member.m_node), &member);
    const std::size_t count = std::min(CandidatesPerLease, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    Members best;
    for (std::size_t index = 0; index < count; ++index)
        best.push_back(*ranked[index].second);
    return best;
}

} // namespace

LeaseCandidates rankLeaseCandidates(const membership::MembershipState &state,
                                    std::chrono::steady_clock::time_point now)
{
    LeaseCandidates candidates;
    for (const std::pair<const std::string, Members> &domain : servingByDomain(state, now)) {
        for (int number = 0; number < sharedstate::RateLeasesPerDomain; ++number) {
            const std::string lease = sharedstate::rateLease(domain.first, number);
            candidates[lease] = topCandidates(lease, domain.second);
        }
    }
    return candidates;
}

} // namespace chervilmount::node
