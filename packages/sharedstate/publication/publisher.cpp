#include "sharedstate/publication/publisher.h"

#include <algorithm>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

constexpr milliseconds StoreTimeout{500};
constexpr milliseconds RetryInterval{200};
/** A publication whose result is not known after this time is answered as unknown. */
constexpr milliseconds PublishTime{5000};

struct Step
{
    PublisherState &m_state;
    const PublisherRight &m_right;
    TimePoint m_now;
    std::mt19937_64 &m_random;
    const PublicationFaults &m_faults;
    PublisherEffects m_effects;
};

void send(Step &step, PublisherOperation kind, StoreOperation operation)
{
    step.m_state.m_operation = kind;
    step.m_state.m_request = step.m_state.m_nextRequest++;
    step.m_effects.m_store.push_back({step.m_state.m_request, std::move(operation), StoreTimeout});
    step.m_state.m_nextAttempt = TimePoint::max();
}

void sendRead(Step &step)
{
    send(step, PublisherOperation::Read, RowRead{PublicationRowName});
}

void sendRow(Step &step, PublisherOperation kind, const PublicationRow &row)
{
    RowWrite write;
    write.m_row = PublicationRowName;
    write.m_condition =
            step.m_state.m_revision == 0 ? WriteCondition::Absent : WriteCondition::Revision;
    if (step.m_faults.m_unconditionalWrite)
        write.m_condition = WriteCondition::None;
    write.m_revision = step.m_state.m_revision;
    write.m_value = toValue(row);
    send(step, kind, RowTransaction{{std::move(write)}, false});
}

bool fenced(const PublisherState &state, const PublisherRight &right)
{
    return right.m_held && state.m_fencedEpoch == right.m_epoch;
}

void answer(Step &step, const PublishRequest &request, PublishOutcome outcome,
            std::uint64_t version, const std::string &hash)
{
    step.m_effects.m_results.push_back({request.m_from, request.m_nonce, outcome, version, hash});
}

/** @returns the remembered publication with this nonce; null if there is none. */
const PublicationEntry *rememberedEntry(const PublisherState &state, Nonce nonce)
{
    if (!state.m_row)
        return nullptr;
    for (const PublicationEntry &entry : state.m_row->m_recent) {
        if (entry.m_nonce == nonce)
            return &entry;
    }
    return nullptr;
}

ConfigurationObject objectOf(const OpenPublication &open)
{
    return {open.m_row.m_version, open.m_row.m_hash,
            open.m_request.m_snapshot ? 0 : open.m_request.m_expectedVersion,
            open.m_request.m_body};
}

void finishOpen(Step &step, PublishOutcome outcome)
{
    const OpenPublication open = *step.m_state.m_open;
    step.m_state.m_open.reset();
    if (outcome == PublishOutcome::Accepted) {
        step.m_effects.m_committed.push_back(objectOf(open));
        answer(step, open.m_request, outcome, open.m_row.m_version, open.m_row.m_hash);
        return;
    }
    const PublicationRow current = step.m_state.m_row.value_or(PublicationRow());
    answer(step, open.m_request, outcome, current.m_version, current.m_hash);
}

/** Records the row read from the store and decides the open publication. */
void observe(Step &step, const PublicationRow &row, std::uint64_t revision)
{
    PublisherState &state = step.m_state;
    state.m_known = true;
    if (revision <= state.m_revision)
        return;
    state.m_row = row;
    state.m_revision = revision;
    if (step.m_right.m_held && row.m_epoch == step.m_right.m_epoch)
        state.m_fencedEpoch = row.m_epoch;
    if (!state.m_open)
        return;
    if (rememberedEntry(state, state.m_open->m_request.m_nonce) != nullptr)
        finishOpen(step, PublishOutcome::Accepted);
    else if (row.m_version == state.m_open->m_request.m_expectedVersion)
        // Only a fence changed the row: the pending write can no longer apply, but a retry may.
        finishOpen(step, PublishOutcome::Unavailable);
    else
        finishOpen(step, PublishOutcome::Conflict);
}

void sendOpen(Step &step)
{
    OpenPublication &open = *step.m_state.m_open;
    if (!open.m_objectWritten) {
        send(step, PublisherOperation::WriteObject,
             ObjectWrite{publicationObject(open.m_row.m_version, open.m_row.m_hash),
                         (open.m_request.m_snapshot ? "s" : "d") + open.m_request.m_body});
        return;
    }
    open.m_rowSent = true;
    sendRow(step, PublisherOperation::WriteRow, open.m_row);
}

void fence(Step &step)
{
    PublisherState &state = step.m_state;
    if (!state.m_known) {
        sendRead(step);
        return;
    }
    if (step.m_faults.m_skipFence) {
        state.m_fencedEpoch = step.m_right.m_epoch;
        return;
    }
    PublicationRow row = state.m_row.value_or(PublicationRow());
    row.m_epoch = step.m_right.m_epoch;
    row.m_nonce = step.m_random();
    sendRow(step, PublisherOperation::Fence, row);
}

/** Starts the publisher's next operation. */
void proceed(Step &step)
{
    PublisherState &state = step.m_state;
    if (state.m_nextAttempt == TimePoint::max() && state.m_request != 0)
        return;
    if (!step.m_right.m_held) {
        // The outcome of a row that was sent must still be determined.
        if (state.m_open && state.m_open->m_rowSent)
            sendRead(step);
        return;
    }
    if (!fenced(state, step.m_right)) {
        if (state.m_fencedEpoch != 0)
            state.m_known = false;
        state.m_fencedEpoch = 0;
        fence(step);
        return;
    }
    if (state.m_open) {
        sendOpen(step);
        return;
    }
    if (state.m_waiting.empty())
        return;
    const PublishRequest request = state.m_waiting.front();
    state.m_waiting.pop_front();
    const PublicationRow current = state.m_row.value_or(PublicationRow());
    if (const PublicationEntry *entry = rememberedEntry(state, request.m_nonce)) {
        answer(step, request, PublishOutcome::Accepted, entry->m_version, entry->m_hash);
        return;
    }
    if (request.m_expectedVersion != current.m_version) {
        answer(step, request, PublishOutcome::Conflict, current.m_version, current.m_hash);
        return;
    }
    OpenPublication open;
    open.m_request = request;
    open.m_row = current;
    open.m_row.m_version = current.m_version + 1;
    open.m_row.m_hash = request.m_hash;
    open.m_row.m_nonce = request.m_nonce;
    open.m_row.m_recent.push_back({open.m_row.m_version, request.m_hash, request.m_nonce});
    if (open.m_row.m_recent.size() > RememberedPublications)
        open.m_row.m_recent.erase(open.m_row.m_recent.begin());
    open.m_until = step.m_now + PublishTime;
    state.m_open = std::move(open);
    sendOpen(step);
}

void retryLater(Step &step)
{
    step.m_state.m_request = 0;
    step.m_state.m_nextAttempt = step.m_now + RetryInterval;
}

void writeResult(Step &step, const StoreResult &result)
{
    PublisherState &state = step.m_state;
    if (result.m_writes.empty())
        return;
    const WriteResult &written = result.m_writes.front();
    if (written.m_value) {
        observe(step, parsePublicationRow(*written.m_value), written.m_revision);
        return;
    }
    if (written.m_applied && state.m_operation == PublisherOperation::WriteRow && state.m_open) {
        const PublicationRow row = state.m_open->m_row;
        observe(step, row, written.m_revision);
        return;
    }
    // The row is read back after a fence, and after a write whose publication has timed out.
    sendRead(step);
}

void handleResult(Step &step, const StoreResult &result)
{
    PublisherState &state = step.m_state;
    state.m_request = 0;
    state.m_nextAttempt = step.m_now;
    if (result.m_outcome == StoreOutcome::Unknown) {
        if (step.m_faults.m_treatUnknownAsConflict && state.m_open && state.m_open->m_rowSent) {
            finishOpen(step, PublishOutcome::Conflict);
            return;
        }
        // Reads the row back; if the revision is unchanged, the same row is sent again.
        sendRead(step);
        return;
    }
    if (result.m_outcome == StoreOutcome::NotApplied) {
        retryLater(step);
        return;
    }
    switch (state.m_operation) {
    case PublisherOperation::Read:
        state.m_known = true;
        if (!result.m_rows.empty()) {
            observe(step, parsePublicationRow(result.m_rows.front().m_value),
                    result.m_rows.front().m_revision);
        }
        return;
    case PublisherOperation::WriteObject:
        if (state.m_open)
            state.m_open->m_objectWritten = true;
        return;
    case PublisherOperation::Fence:
    case PublisherOperation::WriteRow:
        writeResult(step, result);
    }
}

} // namespace

PublisherEffects publishRequested(PublisherState &state, const PublishRequest &request,
                                  const PublisherRight &right, TimePoint now,
                                  std::mt19937_64 &random, const PublicationFaults &faults)
{
    Step step{state, right, now, random, faults, {}};
    const bool known = state.m_open && state.m_open->m_request.m_nonce == request.m_nonce;
    const bool waits = std::any_of(
            state.m_waiting.begin(), state.m_waiting.end(),
            [&request](const PublishRequest &other) { return other.m_nonce == request.m_nonce; });
    if (known || waits)
        return {};
    if (!fenced(state, right)) {
        answer(step, request, PublishOutcome::Unavailable, 0, {});
        return std::move(step.m_effects);
    }
    state.m_waiting.push_back(request);
    if (state.m_request == 0)
        proceed(step);
    return std::move(step.m_effects);
}

PublisherEffects publisherResult(PublisherState &state, const StoreResult &result,
                                 const PublisherRight &right, TimePoint now,
                                 std::mt19937_64 &random, const PublicationFaults &faults)
{
    Step step{state, right, now, random, faults, {}};
    if (result.m_id != state.m_request)
        return {};
    handleResult(step, result);
    if (state.m_request == 0 && now >= state.m_nextAttempt)
        proceed(step);
    return std::move(step.m_effects);
}

PublisherEffects publisherTick(PublisherState &state, const PublisherRight &right, TimePoint now,
                               std::mt19937_64 &random, const PublicationFaults &faults)
{
    Step step{state, right, now, random, faults, {}};
    if (state.m_open && now >= state.m_open->m_until) {
        const bool sent = state.m_open->m_rowSent;
        finishOpen(step, sent ? PublishOutcome::Unknown : PublishOutcome::Unavailable);
    }
    if (!right.m_held) {
        for (const PublishRequest &request : state.m_waiting)
            answer(step, request, PublishOutcome::Unavailable, 0, {});
        state.m_waiting.clear();
    }
    if (state.m_request == 0 && now >= state.m_nextAttempt)
        proceed(step);
    return std::move(step.m_effects);
}

const PublicationRow *attestedRow(const PublisherState &state, const PublisherRight &right)
{
    return fenced(state, right) && state.m_row ? &*state.m_row : nullptr;
}

} // namespace chervilmount::sharedstate
