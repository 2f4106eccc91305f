#include "membership/step/queries.h"

#include <algorithm>

namespace chervilmount::membership {

std::vector<NodeId> floodTargets(const MembershipState &state)
{
    std::vector<NodeId> targets;
    for (const auto &[key, role] : state.m_peers) {
        if (!role.m_neighbour && !role.m_remoteBridge)
            continue;
        if (std::optional<NodeId> id = state.m_table.findId(key))
            targets.push_back(std::move(*id));
    }
    return targets;
}

bool isReachable(const MembershipState &state, const std::string &failureDomain)
{
    const auto found = state.m_domains.find(failureDomain);
    return found == state.m_domains.end() || found->second.m_view.m_reachable;
}

void forEachRoutable(const MembershipState &state, std::chrono::steady_clock::time_point now,
                     const std::function<void(const MemberRecord &)> &visit)
{
    state.m_table.forEach(now, [&](const MemberRecord &record) {
        if (record.m_state == MemberState::Serving
            && isReachable(state, record.m_id.m_failureDomain)) {
            visit(record);
        }
    });
}

bool hasJoined(const MembershipState &state)
{
    return state.m_bootstrap.m_transferred;
}

bool isIsolated(const MembershipState &state, std::chrono::steady_clock::time_point now)
{
    return std::none_of(state.m_peers.begin(), state.m_peers.end(), [&](const auto &peer) {
        const PeerLink &link = state.m_links.at(peer.first);
        return link.m_heard && now - link.m_heardAt < state.m_settings.m_suspectAfter;
    });
}

LinkClock stampFor(const MembershipState &state, const NodeId &peer,
                   std::chrono::steady_clock::time_point now)
{
    const auto link = state.m_links.find(keyOf(peer));
    const PeerClock clock = link == state.m_links.end() ? PeerClock{} : link->second.m_clock;
    return stamp(clock, state.m_self.m_incarnation, now);
}

std::optional<std::chrono::microseconds> transitBoundOf(const MembershipState &state,
                                                        const LinkClock &clock,
                                                        std::chrono::steady_clock::time_point now)
{
    return transitBound(clock, state.m_self.m_incarnation, now);
}

} // namespace chervilmount::membership
