#include "sharedstate/lease/leasestep.h"

#include <algorithm>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using std::chrono::milliseconds;

struct Step
{
    LeaseState &m_state;
    TimePoint m_now;
    std::mt19937_64 &m_random;
    const LeaseFaults &m_faults;
    LeaseEffects m_effects;
};

Duration scaled(milliseconds period, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            static_cast<double>(period.count()) * factor));
}

/** Period for the side that relies on it, reduced by the clock margin. */
Duration shortened(const LeaseState &state, milliseconds period)
{
    return scaled(period, 1 - state.m_settings.m_clockMargin);
}

/** Period for the side that waits for its end, extended by the clock margin. */
Duration lengthened(const LeaseState &state, milliseconds period)
{
    return scaled(period, 1 + state.m_settings.m_clockMargin);
}

bool contains(const std::vector<NodeReference> &nodes, const NodeReference &node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

/** @returns whether a write of this node may make it the holder. */
bool takeoverPending(const LeaseState &state)
{
    return !state.m_holding && state.m_write && state.m_write->m_row.m_holder == state.m_self;
}

/** Rows that the store may hold: the last known one and one whose write has an unknown result. */
std::vector<const LeaseRow *> possibleRows(const LeaseState &state)
{
    std::vector<const LeaseRow *> rows;
    if (state.m_row)
        rows.push_back(&*state.m_row);
    if (state.m_write)
        rows.push_back(&state.m_write->m_row);
    return rows;
}

bool hasPromise(const LeaseState &state, const NodeReference &successor, TimePoint now)
{
    const std::map<NodeReference, SuccessorPromise>::const_iterator found =
            state.m_promises.find(successor);
    return found != state.m_promises.end() && now < found->second.m_until;
}

/** @returns whether every successor that the stored row may name has promised not to take over. */
bool promisesHold(const LeaseState &state, TimePoint now, const LeaseFaults &faults)
{
    for (const LeaseRow *row : possibleRows(state)) {
        // Without successors any candidate takes over after T, so nothing extends the right.
        if (row->m_successors.empty())
            return false;
        const auto promised = [&state, now](const NodeReference &successor) {
            return hasPromise(state, successor, now);
        };
        if (faults.m_acceptSinglePromise
            && std::any_of(row->m_successors.begin(), row->m_successors.end(), promised))
            continue;
        if (!std::all_of(row->m_successors.begin(), row->m_successors.end(), promised))
            return false;
    }
    return true;
}

void sendRead(Step &step)
{
    LeaseState &state = step.m_state;
    state.m_readRequest = state.m_nextRequest++;
    step.m_effects.m_store.push_back({state.m_readRequest, RowRead{leaseRowName(state.m_name)},
                                      state.m_settings.m_storeTimeout});
}

/** Sends or resends the pending write. */
void sendWrite(Step &step)
{
    LeaseState &state = step.m_state;
    const std::uint64_t request = state.m_nextRequest++;
    state.m_write->m_requests[request] = step.m_now;
    state.m_nextWrite = step.m_now + state.m_settings.m_writeRetryInterval;
    RowWrite write;
    write.m_row = leaseRowName(state.m_name);
    write.m_condition = state.m_revision == 0 ? WriteCondition::Absent : WriteCondition::Revision;
    write.m_revision = state.m_revision;
    write.m_value = toValue(state.m_write->m_row);
    step.m_effects.m_store.push_back(
            {request, RowTransaction{{std::move(write)}, false}, state.m_settings.m_storeTimeout});
}

void startWrite(Step &step, const LeaseRow &row)
{
    LeaseWrite &write = step.m_state.m_write.emplace();
    write.m_row = row;
    write.m_row.m_nonce = step.m_random();
    write.m_firstSent = step.m_now;
    sendWrite(step);
}

void startRenewal(Step &step)
{
    LeaseRow row = *step.m_state.m_row;
    ++row.m_renewal;
    row.m_successors = step.m_state.m_preferredSuccessors;
    startWrite(step, row);
}

void startTakeover(Step &step)
{
    LeaseRow row;
    row.m_epoch = (step.m_state.m_row ? step.m_state.m_row->m_epoch : 0) + 1;
    row.m_holder = step.m_state.m_self;
    row.m_successors = step.m_state.m_preferredSuccessors;
    startWrite(step, row);
}

/** Records a row read from the store; rows older than the known one are ignored. */
void observe(Step &step, const LeaseRow &row, std::uint64_t revision, TimePoint sent)
{
    LeaseState &state = step.m_state;
    if (revision <= state.m_revision)
        return;
    const bool own = row.m_holder == state.m_self;
    if (own && (!state.m_row || state.m_row->m_epoch != row.m_epoch))
        state.m_promises.clear();
    state.m_holding = own && !state.m_leaving;
    if (own)
        state.m_rightBase = step.m_faults.m_rightFromResponse ? step.m_now : sent;
    state.m_row = row;
    state.m_revision = revision;
    state.m_firstSeen = step.m_now;
    // The pending write is conditional on an older revision, so it can no longer apply.
    state.m_write.reset();
}

/** Takes note of a row found by a read or by a failed write. */
void observeFound(Step &step, const boost::json::object &value, std::uint64_t revision)
{
    const LeaseRow row = parseLeaseRow(value);
    // An own row that was found rather than acknowledged was sent at the earliest request for it.
    TimePoint sent = step.m_state.m_rightBase;
    if (step.m_state.m_write && step.m_state.m_write->m_row.m_nonce == row.m_nonce)
        sent = step.m_state.m_write->m_firstSent;
    observe(step, row, revision, sent);
}

void writeResult(Step &step, const StoreResult &result)
{
    LeaseState &state = step.m_state;
    if (!state.m_write || !state.m_write->m_requests.contains(result.m_id))
        return;
    const TimePoint sent = state.m_write->m_requests.at(result.m_id);
    state.m_write->m_requests.erase(result.m_id);
    if (result.m_outcome == StoreOutcome::Unknown) {
        state.m_write->m_unknown = true;
        sendRead(step);
        return;
    }
    if (result.m_outcome == StoreOutcome::NotApplied) {
        if (!state.m_write->m_unknown && state.m_write->m_requests.empty())
            state.m_write.reset();
        return;
    }
    if (result.m_writes.empty())
        return;
    const WriteResult &written = result.m_writes.front();
    if (written.m_applied) {
        const LeaseRow row = state.m_write->m_row;
        observe(step, row, written.m_revision, sent);
    } else if (written.m_value) {
        observeFound(step, *written.m_value, written.m_revision);
    }
}

void handle(Step &step, const StoreResult &event)
{
    LeaseState &state = step.m_state;
    if (event.m_outcome == StoreOutcome::Done) {
        state.m_lastStoreContact = step.m_now;
        if (!state.m_observed)
            state.m_firstSeen = step.m_now;
        state.m_observed = true;
    }
    if (event.m_id != state.m_readRequest) {
        writeResult(step, event);
        return;
    }
    state.m_readRequest = 0;
    if (event.m_outcome == StoreOutcome::Done && !event.m_rows.empty())
        observeFound(step, event.m_rows.front().m_value, event.m_rows.front().m_revision);
}

bool reachesStore(const LeaseState &state, TimePoint now)
{
    return state.m_observed
            && now - state.m_lastStoreContact < state.m_settings.m_storeReachableTime;
}

void handle(Step &step, const LeasePromiseRequest &event)
{
    LeaseState &state = step.m_state;
    const bool otherEpoch = state.m_row && state.m_row->m_epoch > event.m_epoch;
    const bool takingOver = takeoverPending(state) && !step.m_faults.m_promiseDuringTakeover;
    if (event.m_successor != state.m_self || state.m_holding || takingOver || otherEpoch)
        return;
    state.m_promisedUntil = std::max(
            state.m_promisedUntil, step.m_now + lengthened(state, state.m_settings.m_promiseTime));
    step.m_effects.m_promises.push_back({event.m_lease, event.m_epoch, event.m_request,
                                         event.m_holder, state.m_self,
                                         reachesStore(state, step.m_now)});
}

void handle(Step &step, const LeasePromise &event)
{
    LeaseState &state = step.m_state;
    const std::map<std::uint64_t, TimePoint>::const_iterator request =
            state.m_promiseRequests.find(event.m_request);
    const bool current = state.m_holding && event.m_holder == state.m_self
            && event.m_epoch == state.m_row->m_epoch;
    if (!current || request == state.m_promiseRequests.end())
        return;
    SuccessorPromise &promise = state.m_promises[event.m_successor];
    promise.m_until = std::max(promise.m_until,
                               request->second + shortened(state, state.m_settings.m_promiseTime));
    // A reply to a request from before the holder lost the store is not conclusive: the successor
    // may have lost the store as well.
    promise.m_reachesStore = event.m_reachesStore
            && request->second - state.m_lastStoreContact
                    >= state.m_settings.m_storeUnreachableTime;
}

/** @returns whether the lease should move to a successor that can reach the store. */
bool shouldHandOver(const LeaseState &state, TimePoint now)
{
    if (now - state.m_lastStoreContact < state.m_settings.m_storeUnreachableTime)
        return false;
    // A successor needs time to take over after its promise ends; after that it is presumed dead.
    return std::any_of(state.m_promises.begin(), state.m_promises.end(),
                       [&state, now](const auto &entry) {
                           return entry.second.m_reachesStore
                                   && now < entry.second.m_until + state.m_settings.m_leaseTime;
                       });
}

void requestPromises(Step &step)
{
    LeaseState &state = step.m_state;
    const bool early = step.m_now - state.m_rightBase < state.m_settings.m_promiseAfter;
    if (early || step.m_now < state.m_nextPromiseRequest || shouldHandOver(state, step.m_now))
        return;
    state.m_nextPromiseRequest = step.m_now + state.m_settings.m_promiseInterval;
    const TimePoint oldest = step.m_now - state.m_settings.m_promiseTime;
    std::erase_if(state.m_promiseRequests,
                  [oldest](const auto &entry) { return entry.second < oldest; });
    std::vector<NodeReference> asked;
    for (const LeaseRow *row : possibleRows(state)) {
        for (const NodeReference &successor : row->m_successors) {
            if (contains(asked, successor))
                continue;
            asked.push_back(successor);
            const std::uint64_t request = state.m_nextRequest++;
            state.m_promiseRequests[request] = step.m_now;
            step.m_effects.m_promiseRequests.push_back(
                    {state.m_name, state.m_row->m_epoch, request, state.m_self, successor});
        }
    }
}

void tickHolder(Step &step)
{
    LeaseState &state = step.m_state;
    if (state.m_leaving) {
        // The right must end before the row can become free.
        state.m_holding = false;
        LeaseRow row = *state.m_row;
        row.m_holder.reset();
        startWrite(step, row);
        return;
    }
    if (state.m_write) {
        if (step.m_now >= state.m_nextWrite)
            sendWrite(step);
    } else {
        const bool due = step.m_now - state.m_rightBase >= state.m_settings.m_renewalInterval;
        const bool replaced = state.m_row->m_successors != state.m_preferredSuccessors;
        if ((due || replaced) && step.m_now >= state.m_nextWrite)
            startRenewal(step);
    }
    requestPromises(step);
}

/** @returns how long this node waits before it takes a free row. */
Duration freeRowDelay(const LeaseState &state, const LeaseRow &row)
{
    const std::vector<NodeReference>::const_iterator found =
            std::find(row.m_successors.begin(), row.m_successors.end(), state.m_self);
    if (found == row.m_successors.end())
        return state.m_candidateDelay;
    return (found - row.m_successors.begin()) * state.m_settings.m_successorStagger;
}

bool mayTakeOver(const LeaseState &state, TimePoint now, const LeaseFaults &faults)
{
    if (!state.m_observed || state.m_leaving)
        return false;
    const Duration unchanged = now - state.m_firstSeen;
    if (!state.m_row)
        return state.m_candidate && unchanged >= state.m_candidateDelay;
    const LeaseRow &row = *state.m_row;
    const bool named = contains(row.m_successors, state.m_self);
    if (!row.m_holder)
        return unchanged >= freeRowDelay(state, row) && (named || state.m_candidate);
    if (now < state.m_promisedUntil && !faults.m_ignorePromise)
        return false;
    if (named || (row.m_successors.empty() && state.m_candidate))
        return unchanged >= lengthened(state, state.m_settings.m_leaseTime);
    return state.m_candidate
            && unchanged
            >= lengthened(state, state.m_settings.m_longestOutage + state.m_settings.m_leaseTime);
}

void tickNonHolder(Step &step)
{
    LeaseState &state = step.m_state;
    const bool named = state.m_row && contains(state.m_row->m_successors, state.m_self);
    if ((named || state.m_candidate) && step.m_now >= state.m_nextRead) {
        sendRead(step);
        state.m_nextRead = step.m_now
                + (named ? state.m_settings.m_successorReadInterval
                         : state.m_settings.m_candidateReadInterval);
    }
    if (step.m_now < state.m_nextWrite || !mayTakeOver(state, step.m_now, step.m_faults))
        return;
    if (state.m_write)
        sendWrite(step);
    else
        startTakeover(step);
}

void handle(Step &step, const LeaseTick &)
{
    if (step.m_state.m_holding)
        tickHolder(step);
    else
        tickNonHolder(step);
}

} // namespace

LeaseEffects step(LeaseState &state, const LeaseEvent &event, TimePoint now,
                  std::mt19937_64 &random, const LeaseFaults &faults)
{
    Step current{state, now, random, faults, {}};
    std::visit([&current](const auto &typed) { handle(current, typed); }, event);
    return std::move(current.m_effects);
}

bool holdsRight(const LeaseState &state, TimePoint now, const LeaseFaults &faults)
{
    if (!state.m_holding)
        return false;
    if (faults.m_skipRightCheck
        || now < state.m_rightBase + shortened(state, state.m_settings.m_leaseTime))
        return true;
    if (now >= state.m_rightBase + shortened(state, state.m_settings.m_longestOutage))
        return false;
    return promisesHold(state, now, faults);
}

} // namespace chervilmount::sharedstate
