#include "sharedstate/claims/claimstep.h"

#include "sharedstate/claims/claimfinish.h"

#include <algorithm>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Calls = std::map<std::uint64_t, ClaimedCall>;

struct Step
{
    ClaimState &m_state;
    TimePoint m_now;
    std::mt19937_64 &m_random;
    const ClaimFaults &m_faults;
    ClaimEffects m_effects;
};

RowWrite insertOf(const ClaimedCall &call)
{
    RowWrite write;
    write.m_row = call.m_row;
    write.m_condition = WriteCondition::Absent;
    write.m_value = toValue({call.m_nonce, call.m_digest, std::nullopt, {}});
    return write;
}

void decide(Step &step, std::uint64_t number, ClaimedCall &call, ClaimVerdict verdict,
            const std::string &reason, const std::string &response = {})
{
    call.m_answered = verdict != ClaimVerdict::Dispatch;
    step.m_effects.m_decisions.push_back({number, verdict, response, reason});
}

void readBack(Step &step, std::uint64_t number, ClaimedCall &call)
{
    call.m_phase = ClaimPhase::ReadingBack;
    sendStoreRequest(step.m_state, step.m_effects, number, call, RowRead{call.m_row}, step.m_now);
}

/** Dispatches a call whose claim is confirmed, or releases the claim if the deadline has passed. */
void claimed(Step &step, std::uint64_t number, ClaimedCall &call, std::uint64_t revision)
{
    call.m_revision = revision;
    call.m_ambiguous = false;
    if (step.m_now < call.m_deadline) {
        call.m_phase = ClaimPhase::Dispatched;
        call.m_nextAttempt = TimePoint::max();
        decide(step, number, call, ClaimVerdict::Dispatch, "claimed");
        return;
    }
    startRelease(step.m_state, step.m_effects, number, call, step.m_now, step.m_faults);
}

/** Decides a call whose claim is held by another attempt. */
void heldByOther(Step &step, Calls::iterator entry, const ClaimRecord &record)
{
    ClaimedCall &call = entry->second;
    if (record.m_digest != call.m_digest) {
        decide(step, entry->first, call, ClaimVerdict::DigestMismatch, "digestMismatch");
    } else if (record.m_response) {
        decide(step, entry->first, call, ClaimVerdict::ReplayResponse, "recorded",
               *record.m_response);
    } else if (!record.m_responseObject.empty()) {
        call.m_phase = ClaimPhase::ReadingResponse;
        call.m_responseObject = record.m_responseObject;
        sendStoreRequest(step.m_state, step.m_effects, entry->first, call,
                         ObjectRead{record.m_responseObject}, step.m_now);
        return;
    } else {
        decide(step, entry->first, call, ClaimVerdict::OutcomeUnknown, "claimedEarlier");
    }
    step.m_state.m_calls.erase(entry);
}

void rowSeen(Step &step, Calls::iterator entry, std::uint64_t revision, const ClaimRecord &record)
{
    if (record.m_nonce == entry->second.m_nonce)
        claimed(step, entry->first, entry->second, revision);
    else
        heldByOther(step, entry, record);
}

void insertResult(Step &step, Calls::iterator entry, StoreOutcome outcome, const WriteResult *write)
{
    const std::uint64_t number = entry->first;
    ClaimedCall &call = entry->second;
    if (step.m_faults.m_treatUnknownAsClaimed && outcome == StoreOutcome::Unknown) {
        claimed(step, number, call, 0);
        return;
    }
    if (outcome == StoreOutcome::NotApplied && !call.m_ambiguous) {
        decide(step, number, call, ClaimVerdict::RefuseNotRun, "storeAway");
        step.m_state.m_calls.erase(entry);
        return;
    }
    if (outcome == StoreOutcome::Done && write != nullptr && write->m_applied) {
        claimed(step, number, call, write->m_revision);
        return;
    }
    if (outcome == StoreOutcome::Done && write != nullptr && write->m_value) {
        rowSeen(step, entry, write->m_revision, parseClaimRecord(*write->m_value));
        return;
    }
    call.m_ambiguous = true;
    readBack(step, number, call);
}

void sendBatch(Step &step)
{
    ClaimState &state = step.m_state;
    std::vector<RowWrite> writes;
    const std::uint64_t request = state.m_nextRequest++;
    for (const std::uint64_t number : state.m_batch) {
        ClaimedCall &call = state.m_calls.at(number);
        call.m_phase = ClaimPhase::Inserting;
        call.m_request = request;
        call.m_nextAttempt =
                state.m_useRelay ? step.m_now + state.m_settings.m_relayTimeout : TimePoint::max();
        writes.push_back(insertOf(call));
    }
    state.m_inFlight[request] = {state.m_batch, step.m_now};
    if (step.m_faults.m_dispatchBeforeClaimKnown) {
        for (const std::uint64_t number : state.m_batch)
            claimed(step, number, state.m_calls.at(number), 0);
    }
    state.m_batch.clear();
    if (state.m_useRelay) {
        step.m_effects.m_relay.push_back({request, std::move(writes)});
        return;
    }
    step.m_effects.m_store.push_back(
            {request, RowTransaction{std::move(writes), false}, state.m_settings.m_storeTimeout});
}

void handle(Step &step, const ClaimWanted &event)
{
    if (step.m_now >= event.m_deadline) {
        step.m_effects.m_decisions.push_back(
                {event.m_call, ClaimVerdict::RefuseNotRun, {}, "deadline"});
        return;
    }
    ClaimedCall call;
    call.m_row = claimRow(event.m_organisation, event.m_keyHash);
    call.m_nonce = step.m_random();
    call.m_digest = event.m_digest;
    call.m_deadline = event.m_deadline;
    call.m_nextAttempt = TimePoint::max();
    step.m_state.m_calls[event.m_call] = std::move(call);
    if (step.m_state.m_batch.empty())
        step.m_state.m_batchDue = step.m_now + step.m_state.m_settings.m_batchDelay;
    step.m_state.m_batch.push_back(event.m_call);
    if (step.m_state.m_batch.size() >= step.m_state.m_settings.m_batchSize)
        sendBatch(step);
}

void handle(Step &step, const CallNotRun &event)
{
    const Calls::iterator entry = step.m_state.m_calls.find(event.m_call);
    if (entry != step.m_state.m_calls.end() && entry->second.m_phase == ClaimPhase::Dispatched) {
        startRelease(step.m_state, step.m_effects, entry->first, entry->second, step.m_now,
                     step.m_faults);
    }
}

void handle(Step &step, const CallAnswered &event)
{
    const Calls::iterator entry = step.m_state.m_calls.find(event.m_call);
    if (entry == step.m_state.m_calls.end() || entry->second.m_phase != ClaimPhase::Dispatched)
        return;
    entry->second.m_answered = true;
    startRecording(step.m_state, step.m_effects, entry->first, entry->second, event.m_response,
                   step.m_now);
}

void handle(Step &step, const CallOutcomeUnknown &event)
{
    if (step.m_faults.m_releaseAfterUnknownOutcome) {
        handle(step, CallNotRun{event.m_call});
        return;
    }
    const Calls::const_iterator entry = step.m_state.m_calls.find(event.m_call);
    if (entry != step.m_state.m_calls.end() && entry->second.m_phase == ClaimPhase::Dispatched)
        step.m_state.m_calls.erase(entry);
}

void readBackResult(Step &step, Calls::iterator entry, const StoreResult &result)
{
    ClaimedCall &call = entry->second;
    if (result.m_outcome != StoreOutcome::Done) {
        call.m_nextAttempt = step.m_now + step.m_state.m_settings.m_retryInterval;
        return;
    }
    if (!result.m_rows.empty()) {
        const StoredRow &row = result.m_rows.front();
        rowSeen(step, entry, row.m_revision, parseClaimRecord(row.m_value));
        return;
    }
    // The first insert may still take effect later. Repeating it with the same nonce is safe: one
    // of the two applies, and the other finds the call's own nonce.
    call.m_phase = ClaimPhase::Inserting;
    sendStoreRequest(step.m_state, step.m_effects, entry->first, call,
                     RowTransaction{{insertOf(call)}, false}, step.m_now);
}

void responseResult(Step &step, Calls::iterator entry, const StoreResult &result)
{
    if (result.m_object) {
        decide(step, entry->first, entry->second, ClaimVerdict::ReplayResponse, "recorded",
               *result.m_object);
        step.m_state.m_calls.erase(entry);
        return;
    }
    entry->second.m_nextAttempt = step.m_now + step.m_state.m_settings.m_retryInterval;
}

/** Passes the result to one call of the request, according to the call's phase. */
void callResult(Step &step, Calls::iterator entry, const StoreResult &result, std::size_t index)
{
    switch (entry->second.m_phase) {
    case ClaimPhase::Inserting:
        insertResult(step, entry, result.m_outcome,
                     index < result.m_writes.size() ? &result.m_writes[index] : nullptr);
        return;
    case ClaimPhase::ReadingBack:
        readBackResult(step, entry, result);
        return;
    case ClaimPhase::ReadingResponse:
        responseResult(step, entry, result);
        return;
    case ClaimPhase::Queued:
    case ClaimPhase::Dispatched:
        return;
    case ClaimPhase::WritingResponse:
    case ClaimPhase::Recording:
    case ClaimPhase::Releasing:
        if (finishResult(step.m_state, step.m_effects, entry->first, entry->second, result,
                         step.m_now, step.m_faults))
            step.m_state.m_calls.erase(entry);
        return;
    }
}

void handle(Step &step, const StoreResult &event)
{
    const std::map<std::uint64_t, ClaimRequestInFlight>::iterator found =
            step.m_state.m_inFlight.find(event.m_id);
    if (found == step.m_state.m_inFlight.end())
        return;
    const std::vector<std::uint64_t> numbers = std::move(found->second.m_calls);
    step.m_state.m_inFlight.erase(found);
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        const Calls::iterator entry = step.m_state.m_calls.find(numbers[index]);
        // The call ignores the result if it has sent a newer request since.
        if (entry != step.m_state.m_calls.end() && entry->second.m_request == event.m_id)
            callResult(step, entry, event, index);
    }
}

void handle(Step &step, const ClaimResult &event)
{
    handle(step, StoreResult{event.m_request, event.m_outcome, {}, event.m_writes, {}});
}

/** @returns whether the call has ended. */
bool deadlinePassed(Step &step, std::uint64_t number, ClaimedCall &call)
{
    if (call.m_phase == ClaimPhase::ReadingResponse) {
        // This attempt did not run, but an earlier one did, so "not run" would be wrong.
        decide(step, number, call, ClaimVerdict::OutcomeUnknown, "responseAway");
        return true;
    }
    const bool sent = call.m_phase != ClaimPhase::Queued;
    if (!call.m_answered)
        decide(step, number, call, ClaimVerdict::RefuseNotRun, "claimUnknown");
    if (!sent) {
        std::erase(step.m_state.m_batch, number);
        return true;
    }
    startRelease(step.m_state, step.m_effects, number, call, step.m_now, step.m_faults);
    return false;
}

bool beforeDispatch(ClaimPhase phase)
{
    return phase == ClaimPhase::Queued || phase == ClaimPhase::Inserting
            || phase == ClaimPhase::ReadingBack || phase == ClaimPhase::ReadingResponse;
}

/** @returns whether the call has ended. */
bool tickCall(Step &step, std::uint64_t number, ClaimedCall &call)
{
    if (beforeDispatch(call.m_phase) && step.m_now >= call.m_deadline)
        return deadlinePassed(step, number, call);
    if (call.m_phase == ClaimPhase::Releasing && !call.m_answered
        && step.m_now >= call.m_deadline) {
        decide(step, number, call, ClaimVerdict::RefuseNotRun, "released");
    }
    if (step.m_now < call.m_nextAttempt)
        return false;
    if (call.m_phase == ClaimPhase::Inserting || call.m_phase == ClaimPhase::ReadingBack) {
        call.m_ambiguous = true;
        readBack(step, number, call);
        return false;
    }
    if (call.m_phase == ClaimPhase::ReadingResponse) {
        sendStoreRequest(step.m_state, step.m_effects, number, call,
                         ObjectRead{call.m_responseObject}, step.m_now);
        return false;
    }
    return retryFinish(step.m_state, step.m_effects, number, call, step.m_now, step.m_faults);
}

void handle(Step &step, const ClaimTick &)
{
    for (Calls::iterator entry = step.m_state.m_calls.begin();
         entry != step.m_state.m_calls.end();) {
        if (tickCall(step, entry->first, entry->second))
            entry = step.m_state.m_calls.erase(entry);
        else
            ++entry;
    }
    if (!step.m_state.m_batch.empty() && step.m_now >= step.m_state.m_batchDue)
        sendBatch(step);
    // Results of relay requests can be lost; drop entries that are older than any retry.
    const TimePoint oldest = step.m_now - step.m_state.m_settings.m_finishTimeout;
    std::erase_if(step.m_state.m_inFlight,
                  [oldest](const auto &entry) { return entry.second.m_sent < oldest; });
}

} // namespace

ClaimEffects step(ClaimState &state, const ClaimEvent &event, TimePoint now,
                  std::mt19937_64 &random, const ClaimFaults &faults)
{
    Step current{state, now, random, faults, {}};
    std::visit([&current](const auto &typed) { handle(current, typed); }, event);
    return std::move(current.m_effects);
}

TimePoint nextTick(const ClaimState &state)
{
    TimePoint due = state.m_batch.empty() ? TimePoint::max() : state.m_batchDue;
    for (const auto &[number, call] : state.m_calls) {
        due = std::min(due, call.m_nextAttempt);
        if (beforeDispatch(call.m_phase)
            || (call.m_phase == ClaimPhase::Releasing && !call.m_answered))
            due = std::min(due, call.m_deadline);
    }
    return due;
}

} // namespace chervilmount::sharedstate
