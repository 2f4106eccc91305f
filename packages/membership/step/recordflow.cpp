#include "membership/step/recordflow.h"

#include "membership/step/queries.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

/** Longest silence before a member that refutes its suspicions is suspected again. */
constexpr std::chrono::milliseconds MaximumSuspectAfter{32000};

/** Records per message; at about 80 bytes each, well below the limit of 128 KiB. */
constexpr std::size_t RecordsPerMessage = 512;

void storeRecord(StepContext &context, const MemberRecord &record)
{
    MembershipState &state = context.m_state;
    const NodeKey key = keyOf(record.m_id);
    const std::optional<MemberState> previous = state.m_table.findState(key);
    state.m_table.put(record, context.m_now);
    state.m_changedAt = context.m_now;
    context.m_effects.m_memberChanges.push_back({record, previous});

    const bool wasPresent = previous && isPresent(*previous);
    if (wasPresent == isPresent(record.m_state))
        return;
    const std::string &domain = record.m_id.m_failureDomain;
    bool changed = false;
    if (!wasPresent) {
        changed = state.m_bridges.insert(domain, key);
        if (domain == state.m_self.m_id.m_failureDomain)
            changed = state.m_rings.insert(key) || changed;
    } else {
        changed = state.m_bridges.remove(domain, key, state.m_table);
        if (domain == state.m_self.m_id.m_failureDomain)
            changed = state.m_rings.remove(key) || changed;
    }
    if (changed)
        refreshPeers(context);
}

void refute(StepContext &context, const MemberRecord &record)
{
    MembershipState &state = context.m_state;
    MemberRecord &self = state.m_self;
    if (!supersedes(record, self) || state.m_settings.m_disabledRule == DisabledRule::Refutation)
        return;
    if (record.m_incarnation > self.m_incarnation) {
        self.m_incarnation = record.m_incarnation + 1;
        self.m_version = 0;
    } else {
        self.m_version = record.m_version;
    }
    publishSelf(context);
}

/** Clears the suspicion of a member that refuted it: it is alive although not heard here. */
void clearSuspicion(StepContext &context, NodeKey key)
{
    MembershipState &state = context.m_state;
    state.m_suspicions.erase(key);
    const auto link = state.m_links.find(key);
    if (link == state.m_links.end())
        return;
    const std::chrono::milliseconds doubled = 2 * link->second.m_suspectAfter;
    link->second.m_suspectAfter = std::min(doubled, MaximumSuspectAfter);
    link->second.m_heardAt = context.m_now;
}

/** With DisabledRule::VersionOrder, only incarnation and state are compared. */
bool isAccepted(const MembershipState &state, const MemberRecord &record, NodeKey key)
{
    if (!state.m_table.isNewer(record))
        return false;
    if (state.m_settings.m_disabledRule != DisabledRule::VersionOrder)
        return true;
    const std::optional<MemberState> known = state.m_table.findState(key);
    return !known || *known <= record.m_state
            || state.m_table.findVersion(key)->first < record.m_incarnation;
}

std::size_t bridgeLinks(const MembershipState &state)
{
    if (state.m_settings.m_bridgeLinks != 0)
        return state.m_settings.m_bridgeLinks;
    return state.m_bridges.domainCount() <= MostFullyLinkedDomains ? BridgesPerDomain : 1;
}

void addPeer(StepContext &context, NodeKey key, bool PeerRole::*role,
             std::map<NodeKey, PeerRole> &peers)
{
    MembershipState &state = context.m_state;
    peers[key].*role = true;
    if (state.m_peers.count(key) != 0)
        return;
    PeerLink &link = state.m_links[key];
    link.m_heardAt = context.m_now;
    link.m_suspectAfter = state.m_settings.m_suspectAfter;
}

void sendEvents(StepContext &context, const NodeId &to, MemberEvents events)
{
    while (events.m_records.size() > RecordsPerMessage) {
        MemberEvents part;
        const auto middle = events.m_records.end() - RecordsPerMessage;
        part.m_records.assign(middle, events.m_records.end());
        events.m_records.erase(middle, events.m_records.end());
        send(context, to, std::move(part));
    }
    if (!events.m_records.empty() || !events.m_domainViews.empty())
        send(context, to, std::move(events));
}

} // namespace

void applyRecord(StepContext &context, const MemberRecord &record, NodeKey from, Flooding flooding)
{
    MembershipState &state = context.m_state;
    const NodeKey key = keyOf(record.m_id);
    if (key == state.m_selfKey) {
        refute(context, record);
        return;
    }
    if (record.m_id.m_failureDomain.empty() || record.m_endedFor >= state.m_settings.m_retention)
        return;
    if (!isAccepted(state, record, key))
        return;
    const auto suspicion = state.m_suspicions.find(key);
    const bool wasSuspected = suspicion != state.m_suspicions.end()
            || state.m_table.findState(key) == MemberState::Failed;
    storeRecord(context, record);
    if (wasSuspected && isPresent(record.m_state))
        clearSuspicion(context, key);
    if (!isPresent(record.m_state))
        state.m_suspicions.erase(key);
    if (flooding == Flooding::Flood)
        state.m_pendingRecords.push_back({key, from});
}

void publishSelf(StepContext &context)
{
    MembershipState &state = context.m_state;
    ++state.m_self.m_version;
    storeRecord(context, state.m_self);
    state.m_pendingRecords.push_back({state.m_selfKey, 0});
}

void refreshPeers(StepContext &context)
{
    MembershipState &state = context.m_state;
    const std::string &domain = state.m_self.m_id.m_failureDomain;
    std::map<NodeKey, PeerRole> peers;
    for (const NodeKey key : state.m_rings.neighboursOf(state.m_selfKey))
        addPeer(context, key, &PeerRole::m_neighbour, peers);
    const std::vector<NodeKey> remote =
            state.m_bridges.remoteLinks(domain, state.m_selfKey, bridgeLinks(state));
    for (const NodeKey key : remote)
        addPeer(context, key, &PeerRole::m_remoteBridge, peers);
    if (state.m_bridges.isBridge(domain, state.m_selfKey)) {
        for (const NodeKey key : state.m_bridges.bridgesOf(domain)) {
            if (key != state.m_selfKey)
                addPeer(context, key, &PeerRole::m_coBridge, peers);
        }
    }
    const auto isRemote = [](const auto &peer) { return peer.second.m_remoteBridge; };
    const bool wasBridge = std::any_of(state.m_peers.begin(), state.m_peers.end(), isRemote);
    if (!remote.empty() && !wasBridge) {
        // A node that has just become a bridge cannot have heard from the other domains yet.
        for (auto &[name, watch] : state.m_domains)
            watch.m_heardAt = context.m_now;
    }
    state.m_peers = std::move(peers);
}

void flush(StepContext &context)
{
    MembershipState &state = context.m_state;
    const bool forwards = state.m_settings.m_disabledRule != DisabledRule::Dissemination;
    MemberEvents all;
    std::vector<NodeKey> origins;
    for (const PendingRecord &pending : state.m_pendingRecords) {
        std::optional<MemberRecord> record = state.m_table.find(pending.m_key, context.m_now);
        if (!record || (!forwards && pending.m_key != state.m_selfKey))
            continue;
        all.m_records.push_back(std::move(*record));
        origins.push_back(pending.m_from);
    }
    for (const std::string &name : state.m_pendingViews)
        all.m_domainViews.push_back(state.m_domains[name].m_view);
    state.m_pendingRecords.clear();
    state.m_pendingViews.clear();
    state.m_flushAt = context.m_now + state.m_settings.m_flushInterval;

    for (const NodeId &target : floodTargets(state)) {
        const NodeKey key = keyOf(target);
        MemberEvents events;
        for (std::size_t i = 0; i < all.m_records.size(); ++i) {
            if (origins[i] != key && keyOf(all.m_records[i].m_id) != key)
                events.m_records.push_back(all.m_records[i]);
        }
        if (target.m_failureDomain == state.m_self.m_id.m_failureDomain)
            events.m_domainViews = all.m_domainViews;
        sendEvents(context, target, std::move(events));
    }
}

} // namespace chervilmount::membership
