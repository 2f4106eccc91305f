#include "membership/step/step.h"

#include "membership/bootstrap/bootstrap.h"
#include "membership/detection/detection.h"
#include "membership/detection/heartbeats.h"
#include "membership/domain/domainwatch.h"
#include "membership/step/queries.h"
#include "membership/step/recordflow.h"
#include "membership/step/stepcontext.h"
#include "membership/sync/reconciliation.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

/** Interval of the checks for silent peers; it adds to the detection time. */
constexpr std::chrono::milliseconds CheckInterval{250};
constexpr std::chrono::seconds ExpireInterval{10};

void handlePayload(StepContext &context, const NodeId &from, const Heartbeat &heartbeat)
{
    receiveHeartbeat(context, from, heartbeat);
}

void handlePayload(StepContext &context, const NodeId &from, const MemberEvents &events)
{
    for (const MemberRecord &record : events.m_records)
        applyRecord(context, record, keyOf(from));
    for (const DomainView &view : events.m_domainViews)
        applyView(context, view);
}

void handlePayload(StepContext &context, const NodeId &from, const RecordRequest &)
{
    send(context, from, MemberEvents{{context.m_state.m_self}, {}});
}

void handlePayload(StepContext &context, const NodeId &from, const SuspicionReport &report)
{
    receiveReport(context, from, report);
}

void handlePayload(StepContext &context, const NodeId &from, const MemberDigest &digest)
{
    receiveDigest(context, from, digest);
}

void handlePayload(StepContext &context, const NodeId &from, const MemberSyncBuckets &buckets)
{
    receiveBuckets(context, from, buckets);
}

void handlePayload(StepContext &context, const NodeId &from, const MemberSyncRecords &records)
{
    receiveRecords(context, from, records);
}

void handlePayload(StepContext &context, const NodeId &from, const TableRequest &request)
{
    receiveTableRequest(context, from, request);
}

void handlePayload(StepContext &context, const NodeId &from, const TablePage &page)
{
    receiveTablePage(context, from, page);
}

void handleEvent(StepContext &context, const Started &)
{
    MembershipState &state = context.m_state;
    // Jitter keeps nodes that start together from sending heartbeats at the same moment.
    state.m_heartbeatAt =
            context.m_now + jittered(context, state.m_settings.m_heartbeatInterval) / 2;
    state.m_checkedAt = context.m_now;
    state.m_expireAt = context.m_now + ExpireInterval;
    publishSelf(context);
    startBootstrap(context);
}

void handleEvent(StepContext &context, const TimePassed &)
{
    MembershipState &state = context.m_state;
    if (context.m_now >= state.m_heartbeatAt) {
        watchDomains(context);
        sendHeartbeats(context);
        sendReports(context);
        state.m_heartbeatAt = context.m_now + state.m_settings.m_heartbeatInterval;
    }
    if (context.m_now >= state.m_checkedAt + CheckInterval) {
        state.m_checkedAt = context.m_now;
        checkNeighbours(context);
        retryFailedMember(context);
        continueBootstrap(context);
    }
    if (context.m_now >= state.m_expireAt) {
        state.m_expireAt = context.m_now + ExpireInterval;
        state.m_table.expire(context.m_now, state.m_settings.m_retention);
        removeIdleLinks(context);
    }
}

void handleEvent(StepContext &context, const MessageReceived &message)
{
    const std::string &domain = message.m_from.m_failureDomain;
    if (domain != context.m_state.m_self.m_id.m_failureDomain)
        noteDomainHeard(context, domain);
    std::visit([&](const auto &payload) { handlePayload(context, message.m_from, payload); },
               message.m_payload);
}

void handleEvent(StepContext &context, const BackendAnnounced &announced)
{
    MemberRecord &self = context.m_state.m_self;
    const MemberState state =
            self.m_state == MemberState::Joining ? MemberState::Serving : self.m_state;
    if (self.m_service == announced.m_service && self.m_slots == announced.m_slots
        && self.m_state == state) {
        return;
    }
    self.m_service = announced.m_service;
    self.m_slots = announced.m_slots;
    self.m_state = state;
    publishSelf(context);
}

void handleEvent(StepContext &context, const BackendLost &)
{
    MemberRecord &self = context.m_state.m_self;
    if (self.m_state != MemberState::Serving)
        return;
    self.m_state = MemberState::Joining;
    publishSelf(context);
}

void handleEvent(StepContext &context, const LeaveStarted &)
{
    MemberRecord &self = context.m_state.m_self;
    if (self.m_state >= MemberState::Leaving)
        return;
    self.m_state = MemberState::Leaving;
    publishSelf(context);
    flush(context);
}

void handleEvent(StepContext &context, const LeaveFinished &)
{
    context.m_state.m_self.m_state = MemberState::Left;
    publishSelf(context);
    flush(context);
}

void handleEvent(StepContext &context, const SeedDutyChanged &duty)
{
    context.m_state.m_bootstrap.m_seedRow = duty.m_row;
}

void handleEvent(StepContext &context, const SeedsRead &seeds)
{
    receiveSeeds(context, seeds);
}

std::chrono::steady_clock::time_point wakeUpAt(const MembershipState &state)
{
    std::chrono::steady_clock::time_point at =
            std::min(state.m_heartbeatAt, state.m_checkedAt + CheckInterval);
    if (!state.m_pendingRecords.empty() || !state.m_pendingViews.empty())
        at = std::min(at, state.m_flushAt);
    return at;
}

} // namespace

MembershipState makeState(MembershipSettings settings, NodeId id, std::uint64_t incarnation)
{
    MembershipState state;
    state.m_settings = std::move(settings);
    state.m_selfKey = keyOf(id);
    state.m_self.m_id = std::move(id);
    state.m_self.m_incarnation = incarnation;
    return state;
}

Effects step(MembershipState &state, const Event &event, std::chrono::steady_clock::time_point now,
             std::mt19937_64 &random)
{
    Effects effects;
    StepContext context{state, now, random, effects};
    if (state.m_self.m_state == MemberState::Left) {
        effects.m_wakeUpAt = now + std::chrono::hours(1);
        return effects;
    }
    const auto pause = now - state.m_steppedAt;
    if (!std::holds_alternative<Started>(event) && pause > 2 * state.m_settings.m_heartbeatInterval)
        compensatePause(context, pause);
    state.m_steppedAt = now;
    std::visit([&](const auto &occurred) { handleEvent(context, occurred); }, event);
    const bool pending = !state.m_pendingRecords.empty() || !state.m_pendingViews.empty();
    if (pending && now >= state.m_flushAt)
        flush(context);
    effects.m_wakeUpAt = wakeUpAt(state);
    return effects;
}

} // namespace chervilmount::membership
