#include "sharedstate/claims/claimfinish.h"

#include <utility>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** Writes the response to the row if the row still has the claim's revision. */
void writeRecord(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                 TimePoint now)
{
    call.m_phase = ClaimPhase::Recording;
    RowWrite write;
    write.m_row = call.m_row;
    write.m_condition = WriteCondition::Revision;
    write.m_revision = call.m_revision;
    ClaimRecord record{call.m_nonce, call.m_digest, std::nullopt, call.m_responseObject};
    if (call.m_responseObject.empty())
        record.m_response = call.m_response;
    write.m_value = toValue(record);
    sendStoreRequest(state, effects, number, call, RowTransaction{{std::move(write)}, false}, now);
}

void writeResponse(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                   ClaimedCall &call, TimePoint now)
{
    if (call.m_response.size() <= MaximumInlineResponseBytes) {
        writeRecord(state, effects, number, call, now);
        return;
    }
    call.m_phase = ClaimPhase::WritingResponse;
    call.m_responseObject = call.m_row + "-" + toHex(call.m_nonce);
    sendStoreRequest(state, effects, number, call,
                     ObjectWrite{call.m_responseObject, call.m_response}, now);
}

void sendDelete(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                TimePoint now, const ClaimFaults &faults)
{
    RowWrite write;
    write.m_row = call.m_row;
    write.m_kind = WriteKind::Delete;
    write.m_condition =
            faults.m_unconditionalRelease ? WriteCondition::None : WriteCondition::Revision;
    write.m_revision = call.m_revision;
    sendStoreRequest(state, effects, number, call, RowTransaction{{std::move(write)}, false}, now);
}

void answerReleased(ClaimEffects &effects, std::uint64_t number, ClaimedCall &call)
{
    if (call.m_answered)
        return;
    call.m_answered = true;
    effects.m_decisions.push_back({number, ClaimVerdict::RefuseNotRun, {}, "released"});
}

bool releaseResult(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                   ClaimedCall &call, const StoreResult &result, TimePoint now,
                   const ClaimFaults &faults)
{
    const bool wasDelete = !result.m_writes.empty();
    // A failed condition means that the row is gone or belongs to a later attempt.
    if (result.m_outcome == StoreOutcome::Done && wasDelete) {
        answerReleased(effects, number, call);
        return true;
    }
    if (result.m_outcome == StoreOutcome::Done && !result.m_rows.empty()) {
        const StoredRow &row = result.m_rows.front();
        if (parseClaimRecord(row.m_value).m_nonce == call.m_nonce) {
            call.m_revision = row.m_revision;
            call.m_ambiguous = false;
            sendDelete(state, effects, number, call, now, faults);
            return false;
        }
    }
    if (result.m_outcome == StoreOutcome::Done && !call.m_ambiguous) {
        answerReleased(effects, number, call);
        return true;
    }
    // An insert with unknown outcome may still take effect, so the row is read again.
    call.m_nextAttempt = now + state.m_settings.m_retryInterval;
    return false;
}

bool recordResult(ClaimState &state, ClaimedCall &call, const StoreResult &result, TimePoint now)
{
    if (result.m_outcome == StoreOutcome::Done)
        return true;
    call.m_nextAttempt = now + state.m_settings.m_retryInterval;
    return false;
}

} // namespace

void sendStoreRequest(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                      ClaimedCall &call, StoreOperation operation, TimePoint now)
{
    call.m_request = state.m_nextRequest++;
    state.m_inFlight[call.m_request] = {{number}, now};
    call.m_nextAttempt = TimePoint::max();
    effects.m_store.push_back(
            {call.m_request, std::move(operation), state.m_settings.m_storeTimeout});
}

void startRelease(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                  TimePoint now, const ClaimFaults &faults)
{
    call.m_phase = ClaimPhase::Releasing;
    call.m_finishDeadline = now + state.m_settings.m_finishTimeout;
    if (call.m_revision != 0 || faults.m_unconditionalRelease) {
        sendDelete(state, effects, number, call, now, faults);
        return;
    }
    call.m_ambiguous = true;
    sendStoreRequest(state, effects, number, call, RowRead{call.m_row}, now);
}

void startRecording(ClaimState &state, ClaimEffects &effects, std::uint64_t number,
                    ClaimedCall &call, const std::string &response, TimePoint now)
{
    call.m_response = response;
    call.m_finishDeadline = now + state.m_settings.m_finishTimeout;
    writeResponse(state, effects, number, call, now);
}

bool finishResult(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                  const StoreResult &result, TimePoint now, const ClaimFaults &faults)
{
    if (call.m_phase == ClaimPhase::Releasing)
        return releaseResult(state, effects, number, call, result, now, faults);
    if (call.m_phase == ClaimPhase::WritingResponse && result.m_outcome == StoreOutcome::Done) {
        writeRecord(state, effects, number, call, now);
        return false;
    }
    return recordResult(state, call, result, now);
}

bool retryFinish(ClaimState &state, ClaimEffects &effects, std::uint64_t number, ClaimedCall &call,
                 TimePoint now, const ClaimFaults &faults)
{
    if (now >= call.m_finishDeadline)
        return true;
    if (call.m_phase == ClaimPhase::Recording) {
        writeRecord(state, effects, number, call, now);
    } else if (call.m_phase == ClaimPhase::WritingResponse) {
        writeResponse(state, effects, number, call, now);
    } else if (call.m_phase == ClaimPhase::Releasing) {
        if (call.m_revision != 0 && !call.m_ambiguous)
            sendDelete(state, effects, number, call, now, faults);
        else
            sendStoreRequest(state, effects, number, call, RowRead{call.m_row}, now);
    }
    return false;
}

} // namespace chervilmount::sharedstate
