#include "sharedstate/claimschedule.h"

#include "sharedstate/claimchecker.h"
#include "sharedstate/simulation/fakestore.h"
#include "sharedstate/simulation/faultplan.h"

#include <map>
#include <set>

namespace chervilmount::simulation {

namespace {

using namespace sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Nodes = 6;
constexpr int Keys = 6;
constexpr int LargeKey = 1;
constexpr int MaximumAttempts = 6;

struct Attempt
{
    int m_key = 0;
    int m_entry = 0;
    bool m_misused = false;
    /** The caller has a final result, or its connection was lost. */
    bool m_over = false;
    bool m_last = false;
};

struct EntryNode
{
    ClaimState m_claims;
    ClaimRelayState m_relay;
    TimePoint m_tickPlanned = TimePoint::max();
    /** Dispatched calls that wait for their response. */
    std::map<std::uint64_t, bool> m_open;
    /** Attempts that arrived from other nodes; frames carry the attempt, so repeats are dropped. */
    std::set<int> m_arrived;
};

class ClaimSchedule
{
public:
    ClaimSchedule(std::uint64_t seed, bool traced, const ClaimFaults &faults)
        : m_world(seed, traced)
        , m_store(m_world)
        , m_faults(faults)
        , m_entries(Nodes)
        , m_attemptsOfKey(Keys, 0)
    {
    }

    ScheduleResult run();

private:
    void startAttempt(int key, bool last);
    void arrive(int number);
    void stepNode(int node, const ClaimEvent &event);
    void planTick(int node);
    void relay(int node, const ClaimRequest &request);
    void relayEffects(int node, const ClaimRelayEffects &effects);
    void decided(int node, const ClaimDecision &decision);
    void dispatch(int node, int number);
    void inbound(int entry, int node, int number);
    void finish(int number, bool repeat);
    std::string responseOf(int key, int number) const;

    World m_world;
    FakeStore m_store;
    ClaimFaults m_faults;
    FaultPlan m_plan;
    ClaimChecker m_checker;
    std::vector<EntryNode> m_entries;
    std::vector<int> m_attemptsOfKey;
    std::vector<Attempt> m_attempts;
    bool m_useRelay = false;
    bool m_large = false;
};

std::string ClaimSchedule::responseOf(int key, int number) const
{
    const std::string text = "response " + std::to_string(number);
    // Large responses dominate the run time, so only some schedules have them.
    return key == LargeKey && m_large ? text + std::string(MaximumInlineResponseBytes, '.') : text;
}

void ClaimSchedule::startAttempt(int key, bool last)
{
    if (!last && m_attemptsOfKey[static_cast<std::size_t>(key)]++ >= MaximumAttempts)
        return;
    const int number = static_cast<int>(m_attempts.size());
    const int entry = std::uniform_int_distribution<int>(0, Nodes - 1)(m_world.random());
    m_attempts.push_back({key, entry, !last && m_world.chance(0.05), false, last});
    m_world.after(milliseconds(3), [this, number]() { arrive(number); });
    // A caller retries its request after a lost connection or a timeout.
    m_world.after(seconds(4), [this, number]() {
        if (m_attempts[static_cast<std::size_t>(number)].m_over)
            return;
        m_attempts[static_cast<std::size_t>(number)].m_over = true;
        startAttempt(m_attempts[static_cast<std::size_t>(number)].m_key, false);
    });
}

void ClaimSchedule::arrive(int number)
{
    const Attempt &attempt = m_attempts[static_cast<std::size_t>(number)];
    if (!m_world.node(attempt.m_entry).m_up)
        return;
    m_world.afterAt(attempt.m_entry, Nanoseconds(0), [this, number]() {
        const Attempt &arrived = m_attempts[static_cast<std::size_t>(number)];
        if (m_world.traced()) {
            m_world.trace("attempt " + std::to_string(number) + " of key "
                          + std::to_string(arrived.m_key) + " arrives at node "
                          + std::to_string(arrived.m_entry));
        }
        stepNode(arrived.m_entry,
                 ClaimWanted{static_cast<std::uint64_t>(number), "org",
                             "key" + std::to_string(arrived.m_key),
                             arrived.m_misused ? "other" : "digest",
                             m_world.localTime(arrived.m_entry) + seconds(2)});
    });
}

void ClaimSchedule::stepNode(int node, const ClaimEvent &event)
{
    EntryNode &entry = m_entries[static_cast<std::size_t>(node)];
    entry.m_claims.m_useRelay = m_useRelay;
    const ClaimEffects effects =
            step(entry.m_claims, event, m_world.localTime(node), m_world.random(), m_faults);
    for (const StoreRequest &request : effects.m_store)
        m_store.request(node, request,
                        [this, node](const StoreResult &result) { stepNode(node, result); });
    for (const ClaimRequest &request : effects.m_relay)
        relay(node, request);
    for (const ClaimDecision &decision : effects.m_decisions)
        decided(node, decision);
    planTick(node);
}

void ClaimSchedule::planTick(int node)
{
    EntryNode &entry = m_entries[static_cast<std::size_t>(node)];
    const TimePoint due = nextTick(entry.m_claims);
    if (due >= entry.m_tickPlanned)
        return;
    entry.m_tickPlanned = due;
    const Nanoseconds wait = std::max<Nanoseconds>(due - m_world.localTime(node), milliseconds(1));
    m_world.afterAt(node, wait, [this, node, due]() {
        EntryNode &ticked = m_entries[static_cast<std::size_t>(node)];
        if (ticked.m_tickPlanned != due)
            return;
        ticked.m_tickPlanned = TimePoint::max();
        stepNode(node, ClaimTick{});
    });
}

void ClaimSchedule::relay(int node, const ClaimRequest &request)
{
    // The first node of each domain is the group holder that relays claims.
    const int holder = node % 2;
    m_world.send(node, holder, [this, node, holder, request]() {
        ClaimRelayState &state = m_entries[static_cast<std::size_t>(holder)].m_relay;
        relayEffects(holder,
                     relayClaims(state, std::to_string(node), request, m_world.localTime(holder)));
        m_world.afterAt(holder, milliseconds(6), [this, holder]() {
            relayEffects(holder,
                         relayTick(m_entries[static_cast<std::size_t>(holder)].m_relay,
                                   m_world.localTime(holder)));
        });
    });
}

void ClaimSchedule::relayEffects(int node, const ClaimRelayEffects &effects)
{
    for (const StoreRequest &request : effects.m_store) {
        m_store.request(node, request, [this, node](const StoreResult &result) {
            relayEffects(node,
                         relayResult(m_entries[static_cast<std::size_t>(node)].m_relay, result));
        });
    }
    for (const RelayedResult &result : effects.m_results) {
        const int to = std::stoi(result.m_to);
        m_world.send(node, to, [this, to, relayed = result.m_result]() { stepNode(to, relayed); });
    }
}

void ClaimSchedule::decided(int node, const ClaimDecision &decision)
{
    const int number = static_cast<int>(decision.m_call);
    const Attempt &attempt = m_attempts[decision.m_call];
    if (m_world.traced()) {
        m_world.trace("node " + std::to_string(node) + " decides attempt " + std::to_string(number)
                      + ": verdict " + std::to_string(static_cast<int>(decision.m_verdict)) + ", "
                      + decision.m_reason);
    }
    switch (decision.m_verdict) {
    case ClaimVerdict::Dispatch:
        dispatch(node, number);
        return;
    case ClaimVerdict::RefuseNotRun:
        m_checker.finalDecision(number);
        m_checker.refusedAsNotRun(number);
        finish(number, true);
        break;
    case ClaimVerdict::ReplayResponse:
        m_checker.finalDecision(number);
        m_checker.answered(attempt.m_key, number, decision.m_response);
        finish(number, m_world.chance(0.2));
        break;
    case ClaimVerdict::OutcomeUnknown:
    case ClaimVerdict::DigestMismatch:
        m_checker.finalDecision(number);
        finish(number, m_world.chance(0.5));
        break;
    }
    if (m_attempts[decision.m_call].m_last)
        m_checker.lastWord(m_attempts[decision.m_call].m_key,
                           decision.m_verdict != ClaimVerdict::RefuseNotRun);
}

void ClaimSchedule::dispatch(int node, int number)
{
    m_entries[static_cast<std::size_t>(node)].m_open[static_cast<std::uint64_t>(number)] = true;
    const int target = std::uniform_int_distribution<int>(0, Nodes - 1)(m_world.random());
    m_world.send(node, target, [this, node, target, number]() { inbound(node, target, number); });
    m_world.afterAt(node, milliseconds(1500), [this, node, number]() {
        if (m_entries[static_cast<std::size_t>(node)].m_open.erase(
                    static_cast<std::uint64_t>(number))
            == 0)
            return;
        stepNode(node, CallOutcomeUnknown{static_cast<std::uint64_t>(number)});
        // Without the injected fault the entry node itself reports the outcome as unknown.
        if (!m_faults.m_releaseAfterUnknownOutcome)
            finish(number, true);
    });
}

void ClaimSchedule::inbound(int entry, int node, int number)
{
    if (!m_entries[static_cast<std::size_t>(node)].m_arrived.insert(number).second)
        return;
    const Attempt &attempt = m_attempts[static_cast<std::size_t>(number)];
    const std::uint64_t call = static_cast<std::uint64_t>(number);
    const bool admitted = attempt.m_last || m_world.chance(0.75);
    const std::string response = responseOf(attempt.m_key, number);
    if (admitted) {
        m_world.trace("attempt " + std::to_string(number) + " runs");
        m_checker.ran(attempt.m_key, number, response);
    }
    const Nanoseconds work =
            admitted ? m_world.between(milliseconds(1), milliseconds(800)) : Nanoseconds(0);
    const int key = attempt.m_key;
    m_world.afterAt(node, work, [this, entry, node, number, call, admitted, response, key]() {
        m_world.send(node, entry, [this, entry, number, call, admitted, response, key]() {
            if (m_entries[static_cast<std::size_t>(entry)].m_open.erase(call) == 0)
                return;
            if (!admitted) {
                stepNode(entry, CallNotRun{call});
                return;
            }
            m_checker.finalDecision(number);
            m_checker.answered(key, number, response);
            stepNode(entry, CallAnswered{call, response});
            finish(number, m_world.chance(0.3));
        });
    });
}

void ClaimSchedule::finish(int number, bool repeat)
{
    Attempt &attempt = m_attempts[static_cast<std::size_t>(number)];
    if (attempt.m_over)
        return;
    attempt.m_over = true;
    if (!repeat || attempt.m_last)
        return;
    const int key = attempt.m_key;
    m_world.after(m_world.between(milliseconds(5), milliseconds(500)),
                  [this, key]() { startAttempt(key, false); });
}

ScheduleResult ClaimSchedule::run()
{
    for (int node = 0; node < Nodes; ++node)
        m_world.addNode(node % 2);
    m_useRelay = m_world.chance(0.5);
    m_large = m_world.chance(0.1);
    m_plan.m_until = seconds(8);
    m_plan.m_longestOutage = seconds(6);
    m_plan.m_longestPause = seconds(6);
    m_plan.m_onRestart = [this](int node) {
        m_entries[static_cast<std::size_t>(node)] = EntryNode();
    };
    injectFaults(m_world, m_store, m_plan);
    for (int key = 0; key < Keys; ++key) {
        const Nanoseconds start = m_world.between(Nanoseconds(0), seconds(8));
        m_world.after(start, [this, key]() { startAttempt(key, false); });
        if (m_world.chance(0.6)) {
            m_world.after(start + m_world.between(Nanoseconds(0), milliseconds(40)),
                          [this, key]() { startAttempt(key, false); });
        }
        m_world.after(seconds(70), [this, key]() { startAttempt(key, true); });
    }
    m_world.run(seconds(80));
    return {m_checker.violation(), m_world.traceText(), m_checker.observations()};
}

} // namespace

ScheduleResult runClaimSchedule(std::uint64_t seed, bool traced, const ClaimFaults &faults)
{
    ClaimSchedule schedule(seed, traced, faults);
    return schedule.run();
}

} // namespace chervilmount::simulation
