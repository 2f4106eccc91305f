#include "membership/detection/heartbeats.h"

#include "membership/domain/domainwatch.h"
#include "membership/step/queries.h"
#include "membership/sync/reconciliation.h"

#include <tuple>

namespace chervilmount::membership {

namespace {

/** Links to nodes that are no peers are kept this long after the last heartbeat. */
constexpr std::chrono::seconds IdleLinkTime{10};

/** Least time between two replies to one node that is no peer. */
constexpr std::chrono::milliseconds ReplyInterval{900};

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
    for (const auto &[key, role] : context.m_state.m_peers) {
        if (const std::optional<NodeId> id = context.m_state.m_table.findId(key))
            sendHeartbeat(context, *id, false);
    }
}

void receiveHeartbeat(StepContext &context, const NodeId &from, const Heartbeat &heartbeat)
{
    MembershipState &state = context.m_state;
    const NodeKey key = keyOf(from);
    PeerLink &link = state.m_links[key];
    remember(link.m_clock, heartbeat.m_clock, context.m_now);
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
