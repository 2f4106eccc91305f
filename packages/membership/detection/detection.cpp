#include "membership/detection/detection.h"

#include "membership/detection/heartbeats.h"
#include "membership/step/queries.h"
#include "membership/step/recordflow.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

bool isSilent(const MembershipState &state, NodeKey key, std::chrono::steady_clock::time_point now)
{
    const auto link = state.m_links.find(key);
    return link != state.m_links.end()
            && now - link->second.m_heardAt >= link->second.m_suspectAfter;
}

bool isHeard(const MembershipState &state, NodeKey key, std::chrono::steady_clock::time_point now)
{
    const auto link = state.m_links.find(key);
    return link != state.m_links.end() && link->second.m_heard
            && now - link->second.m_heardAt < state.m_settings.m_suspectAfter;
}

bool isSilentNeighbour(const MembershipState &state, NodeKey key,
                       std::chrono::steady_clock::time_point now)
{
    const auto peer = state.m_peers.find(key);
    return peer != state.m_peers.end() && peer->second.m_neighbour && isSilent(state, key, now);
}

/** Returns the reports about the subject's current version, discarding older ones. */
Suspicion &currentSuspicion(MembershipState &state, NodeKey subject)
{
    Suspicion &suspicion = state.m_suspicions[subject];
    const auto version = state.m_table.findVersion(subject);
    if (version && *version != std::pair{suspicion.m_incarnation, suspicion.m_version})
        suspicion = {version->first, version->second, {}, std::nullopt};
    return suspicion;
}

void sendReport(StepContext &context, NodeKey subject, const Suspicion &suspicion)
{
    const MembershipState &state = context.m_state;
    const SuspicionReport report{subject, suspicion.m_incarnation, suspicion.m_version};
    std::vector<NodeKey> receivers = state.m_rings.neighboursOf(subject);
    receivers.push_back(subject);
    for (const NodeKey receiver : receivers) {
        const std::optional<NodeId> id = state.m_table.findId(receiver);
        if (receiver != state.m_selfKey && id)
            send(context, *id, report);
    }
}

ObserverView viewObservers(const MembershipState &state, const std::vector<NodeKey> &observers,
                           std::chrono::steady_clock::time_point now)
{
    ObserverView view;
    view.m_observers = observers.size();
    view.m_trustedObservers = static_cast<std::size_t>(
            std::count_if(observers.begin(), observers.end(), [&](NodeKey observer) {
                return observer == state.m_selfKey || isHeard(state, observer, now);
            }));
    view.m_hearsSomebody = !isIsolated(state, now);
    return view;
}

void markFailed(StepContext &context, NodeKey subject)
{
    std::optional<MemberRecord> record = context.m_state.m_table.find(subject, context.m_now);
    if (!record)
        return;
    record->m_state = MemberState::Failed;
    record->m_endedFor = std::chrono::seconds(0);
    applyRecord(context, *record, 0);
}

} // namespace

void checkNeighbours(StepContext &context)
{
    MembershipState &state = context.m_state;
    for (const auto &[key, role] : state.m_peers) {
        if (!isSilentNeighbour(state, key, context.m_now))
            continue;
        const bool isNew = state.m_suspicions.count(key) == 0;
        Suspicion &suspicion = currentSuspicion(state, key);
        addReport(suspicion, state.m_selfKey, context.m_now);
        if (isNew)
            sendReport(context, key, suspicion);
    }
    std::vector<NodeKey> failed;
    for (auto &[subject, suspicion] : state.m_suspicions) {
        const std::vector<NodeKey> observers = state.m_rings.neighboursOf(subject);
        const bool silent = isSilentNeighbour(state, subject, context.m_now);
        if (!silent) {
            std::erase_if(suspicion.m_reports, [&](const ObserverReport &report) {
                return report.m_observer == state.m_selfKey;
            });
            suspicion.m_unanimousSince.reset();
        }
        removeStaleReports(suspicion, observers, context.m_now);
        const ObserverView view = viewObservers(state, observers, context.m_now);
        if (silent && isFailed(suspicion, view, state.m_settings, context.m_now))
            failed.push_back(subject);
    }
    std::erase_if(state.m_suspicions,
                  [](const auto &suspicion) { return suspicion.second.m_reports.empty(); });
    for (const NodeKey subject : failed)
        markFailed(context, subject);
}

void sendReports(StepContext &context)
{
    MembershipState &state = context.m_state;
    for (const auto &[subject, suspicion] : state.m_suspicions) {
        if (isSilentNeighbour(state, subject, context.m_now))
            sendReport(context, subject, suspicion);
    }
}

void receiveReport(StepContext &context, const NodeId &from, const SuspicionReport &report)
{
    MembershipState &state = context.m_state;
    if (report.m_subject == state.m_selfKey) {
        sendHeartbeat(context, from, true);
        return;
    }
    PeerLink &link = state.m_links[keyOf(from)];
    link.m_heard = true;
    link.m_heardAt = context.m_now;
    const auto known = state.m_table.findVersion(report.m_subject);
    if (!known)
        return;
    // Shows the reporting observer that this node is alive and does not suspect the subject.
    if (!isSilentNeighbour(state, report.m_subject, context.m_now))
        sendHeartbeat(context, from, true);
    const std::pair reported{report.m_incarnation, report.m_version};
    const bool present = isPresent(*state.m_table.findState(report.m_subject));
    if (*known > reported || (*known == reported && !present)) {
        send(context, from,
             MemberEvents{{*state.m_table.find(report.m_subject, context.m_now)}, {}});
    }
    if (*known == reported && present)
        addReport(currentSuspicion(state, report.m_subject), keyOf(from), context.m_now);
}

void compensatePause(StepContext &context, std::chrono::steady_clock::duration pause)
{
    MembershipState &state = context.m_state;
    for (auto &[key, link] : state.m_links)
        link.m_heardAt += pause;
    for (auto &[name, watch] : state.m_domains)
        watch.m_heardAt += pause;
    state.m_suspicions.clear();
}

} // namespace chervilmount::membership
