#include "traffic/gate/gate.h"

#include "overload/rank/rank.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Weight of one run in the moving average of the hold time. */
constexpr double HoldWeight = 0.05;
/** Fraction of the average hold time that must remain until the deadline when a run starts. Runs
 * differ in length; requiring the whole average would refuse too many. */
constexpr double RequiredHoldShare = 0.5;

/** Nested calls have precedence because their callers hold slots of other backend servers; among
 * them those of requests with priority 0 come first. */
int queueLevel(const ArrivingRun &run)
{
    if (run.m_nested)
        return run.m_priority == 0 ? 0 : 1;
    return 2 + run.m_priority;
}

std::chrono::nanoseconds nanoseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(seconds));
}

std::chrono::nanoseconds maximumWait(const Gate &gate, const ArrivingRun &run,
                                     std::chrono::steady_clock::time_point now)
{
    const double share =
            run.m_nested ? gate.m_settings.m_nestedWaitShare : gate.m_settings.m_callerWaitShare;
    const double target = Seconds(run.m_targetLatency).count() * share;
    const double left =
            Seconds(run.m_deadline - now).count() - gate.m_holdSeconds * RequiredHoldShare;
    return nanoseconds(std::max(0.0, std::min(target, left)));
}

} // namespace

int gateLimit(const Gate &gate)
{
    if (gate.m_slots <= 0)
        return 0;
    return std::max(1, static_cast<int>(std::floor(gate.m_slots * gate.m_settings.m_usableShare)));
}

int gateCapacity(const Gate &gate)
{
    const int limit = gateLimit(gate);
    if (!gate.m_requestLimit.m_rate || limit == 0 || gate.m_holdSeconds <= 0)
        return limit;
    const double runs = std::ceil(usedRate(*gate.m_requestLimit.m_rate) * gate.m_holdSeconds);
    return runs >= limit ? limit : std::max(1, static_cast<int>(runs));
}

GateDecision arriveAtGate(Gate &gate, const ArrivingRun &run,
                          std::chrono::steady_clock::time_point now)
{
    GateDecision decision;
    const int limit = gateLimit(gate);
    if (limit == 0 || run.m_deadline <= now)
        return decision;
    if (gate.m_running < limit && gate.m_queue.m_size == 0
        && takeRequest(gate.m_requestLimit, now)) {
        ++gate.m_running;
        decision.m_verdict = GateVerdict::Start;
        return decision;
    }
    const overload::Rank rank =
            overload::makeRank(gate.m_settings.m_ordersByImportance ? queueLevel(run) : 0, 0, {});
    const double ahead = overload::waitingBefore(gate.m_queue, rank) + 1.0;
    const std::chrono::nanoseconds slotWait = gate.m_running < limit
            ? std::chrono::nanoseconds{0}
            : nanoseconds(ahead * gate.m_holdSeconds / limit);
    decision.m_expectedWait =
            std::max(slotWait, timeOfRequests(gate.m_requestLimit, ahead, now) - now);
    const std::chrono::nanoseconds allowed = maximumWait(gate, run, now);
    if (decision.m_expectedWait > allowed || gate.m_queue.m_size >= gate.m_settings.m_maximumQueued)
        return decision;
    overload::QueuedCall queued;
    queued.m_call = run.m_run;
    queued.m_organisation = run.m_organisation;
    queued.m_rank = rank;
    queued.m_nested = run.m_nested;
    queued.m_deadline = run.m_deadline;
    queued.m_queuedAt = now;
    overload::enqueue(gate.m_queue, queued);
    decision.m_verdict = GateVerdict::Wait;
    decision.m_waitUntil = now + allowed;
    return decision;
}

void finishRun(Gate &gate, std::chrono::nanoseconds hold)
{
    gate.m_running = std::max(0, gate.m_running - 1);
    if (hold.count() <= 0)
        return;
    const double seconds = Seconds(hold).count();
    gate.m_holdSeconds +=
            gate.m_holdSeconds <= 0.0 ? seconds : (seconds - gate.m_holdSeconds) * HoldWeight;
}

std::optional<std::uint64_t> startNext(Gate &gate, std::chrono::steady_clock::time_point now)
{
    if (gate.m_running >= gateLimit(gate) || gate.m_queue.m_size == 0
        || !takeRequest(gate.m_requestLimit, now))
        return std::nullopt;
    const std::optional<overload::QueuedCall> next = overload::dequeue(gate.m_queue, now);
    if (!next)
        return std::nullopt;
    ++gate.m_running;
    return next->m_call;
}

std::optional<std::chrono::steady_clock::time_point>
nextStart(const Gate &gate, std::chrono::steady_clock::time_point now)
{
    if (!gate.m_requestLimit.m_rate || gate.m_queue.m_size == 0
        || gate.m_running >= gateLimit(gate))
        return std::nullopt;
    return timeOfRequests(gate.m_requestLimit, 1.0, now);
}

bool removeWaiting(Gate &gate, std::uint64_t run)
{
    return overload::removeCall(gate.m_queue, run);
}

} // namespace chervilmount::traffic
