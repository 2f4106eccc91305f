#include "membership/detection/heartbeats.h"

#include "membership/domain/domainwatch.h"
#include "membership/step/queries.h"
#include "membership/sync/reconciliation.h"

#include <algorithm>
#include <tuple>

namespace chervilmount::membership {

namespace {

/** Links to nodes that are not peers are kept this long after the last heartbeat. */
constexpr std::chrono::seconds IdleLinkTime{10};

/** Minimum interval between two replies to one node that is not a peer. */
constexpr std::chrono::milliseconds ReplyInterval{900};

/** Other members probed per heartbeat interval by a node that hears none of its peers. */
constexpr std::size_t OthersTried = 8;

void compareRecord(StepContext &context, const NodeId &from, const Heartbeat &heartbeat)
{
    const MembershipState &state = context.m_state;
    const NodeKey key = keyOf(from);
    const std::pair received{heartbeat.m_clock.m_incarnation, heartbeat.m_version};
    const auto known = state.m_table.findVersion(key);
    if (!known || *known < received) {
        send(context, from, RecordRequest{});
        return;
    }
    const bool ended = !isPresent(*state.m_table.findState(key));
    if (*known > received || ended)
        send(context, from, MemberEvents{{*state.m_table.find(key, context.m_now)}, {}});
}

bool hearsPeer(const MembershipState &state, std::chrono::steady_clock::time_point now)
{
    return std::any_of(state.m_peers.begin(), state.m_peers.end(), [&](const auto &peer) {
        return now - state.m_links.at(peer.first).m_heardAt < state.m_settings.m_suspectAfter;
    });
}

void tryOtherMembers(StepContext &context)
{
    const MembershipState &state = context.m_state;
    std::vector<NodeKey> others;
    state.m_table.forEachKey([&](NodeKey key, MemberState member, const std::string &domain) {
        const bool isOwn = domain == state.m_self.m_id.m_failureDomain;
        if (isPresent(member) && state.m_peers.count(key) == 0 && key != state.m_selfKey
            && (isOwn || state.m_bridges.isBridge(domain, key))) {
            others.push_back(key);
        }
    });
    std::shuffle(others.begin(), others.end(), context.m_random);
    if (others.size() > OthersTried)
        others.resize(OthersTried);
    for (const NodeKey key : others)
        sendHeartbeat(context, *state.m_table.findId(key), false);
}

} // namespace

void sendHeartbeat(StepContext &context, const NodeId &to, bool isReply)
{
    const MembershipState &state = context.m_state;
    Heartbeat heartbeat;
    heartbeat.m_clock = stampFor(state, to, context.m_now);
    heartbeat.m_version = state.m_self.m_version;
    heartbeat.m_tableDigest = comparedDigest(state, to);
    const bool sameDomain = to.m_failureDomain == state.m_self.m_id.m_failureDomain;
    if (sameDomain)
        heartbeat.m_unreachableDomains = unreachedDomains(state, context.m_now);
    heartbeat.m_isReply = isReply;
    send(context, to, std::move(heartbeat));
}

void sendHeartbeats(StepContext &context)
{
    const MembershipState &state = context.m_state;
    for (const auto &[key, role] : state.m_peers) {
        if (const std::optional<NodeId> id = state.m_table.findId(key))
            sendHeartbeat(context, *id, false);
    }
    if (!state.m_peers.empty() && !hearsPeer(state, context.m_now))
        tryOtherMembers(context);
}

void receiveHeartbeat(StepContext &context, const NodeId &from, const Heartbeat &heartbeat)
{
    MembershipState &state = context.m_state;
    const NodeKey key = keyOf(from);
    PeerLink &link = state.m_links[key];
    recordPeerClock(link.m_clock, heartbeat.m_clock, context.m_now);
    link.m_heardAt = context.m_now;
    link.m_heard = true;
    link.m_suspectAfter = state.m_settings.m_suspectAfter;
    link.m_unreachableDomains = heartbeat.m_unreachableDomains;

    compareRecord(context, from, heartbeat);
    const bool isPeer = state.m_peers.count(key) != 0;
    if (!isPeer && !heartbeat.m_isReply && context.m_now - link.m_repliedAt >= ReplyInterval) {
        link.m_repliedAt = context.m_now;
        sendHeartbeat(context, from, true);
    }
    if (isPeer)
        compareDigest(context, from, link, heartbeat.m_tableDigest);
}

void retryFailedMember(StepContext &context)
{
    MembershipState &state = context.m_state;
    if (context.m_now < state.m_retryFailedAt)
        return;
    state.m_retryFailedAt =
            context.m_now + jittered(context, state.m_settings.m_retryFailedInterval);
    const std::vector<NodeKey> failed =
            state.m_table.failedMembers(state.m_self.m_id.m_failureDomain);
    if (failed.empty())
        return;
    const NodeKey key = failed[randomBelow(context, failed.size())];
    sendHeartbeat(context, *state.m_table.findId(key), false);
}

void removeIdleLinks(StepContext &context)
{
    MembershipState &state = context.m_state;
    std::erase_if(state.m_links, [&](const auto &link) {
        return state.m_peers.count(link.first) == 0
                && context.m_now - link.second.m_heardAt > IdleLinkTime;
    });
}

} // namespace chervilmount::membership
