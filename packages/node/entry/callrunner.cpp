#include "node/entry/callrunner.h"

#include "messages/codec/framecodec.h"
#include "node/calls/requestids.h"
#include "node/entry/replies.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace chervilmount::node {

namespace {

using BodyRead = adapters::HttpExchange::BodyRead;

constexpr std::chrono::milliseconds DefaultRetryDelay{200};

struct FreeChecksum
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

} // namespace

struct CallRunner::Attempt
{
    adapters::HttpExchange &m_exchange;
    BodySource &m_body;
    const CallPlan &m_plan;
    std::shared_ptr<OutgoingCall> m_call;
    RefusalReply m_refusal;
    /** False for failures that a further attempt must not follow. */
    bool m_retryable = true;
    int m_unusedExtraAttempts = 0;

    bool callerGone() const { return m_exchange.isDisconnected(); }
    bool late() const { return std::chrono::steady_clock::now() >= m_plan.m_context.m_deadline; }
};

CallRunner::CallRunner(OutgoingCalls &calls, ChooseNode choose, std::size_t replayBytes)
    : m_calls(calls)
    , m_choose(std::move(choose))
    , m_replayBytes(replayBytes)
{
}

messages::CallStart CallRunner::makeStart(const CallPlan &plan, int attemptNumber,
                                          int handedOver) const
{
    messages::CallStart start;
    start.m_key.m_requestId = plan.m_context.m_requestId;
    start.m_key.m_attempt = static_cast<std::uint32_t>(attemptNumber);
    start.m_service = plan.m_service;
    start.m_route = plan.m_route;
    start.m_method = plan.m_head.m_method;
    start.m_target = plan.m_head.m_target;
    for (const adapters::HttpField &field : plan.m_head.m_fields)
        start.m_fields.push_back({field.m_name, field.m_value});
    start.m_hasBody = plan.m_head.m_hasBody;
    start.m_bodyBytes = plan.m_head.m_bodyBytes;
    start.m_organisation = plan.m_context.m_organisation;
    start.m_priority = plan.m_context.m_priority;
    start.m_remaining = std::chrono::duration_cast<std::chrono::microseconds>(
            plan.m_context.m_deadline - std::chrono::steady_clock::now());
    start.m_extraAttempts = handedOver;
    start.m_pathDepth = plan.m_context.m_pathDepth;
    start.m_rank = plan.m_context.m_rank;
    start.m_onceOnly = plan.m_context.m_onceOnly;
    return start;
}

adapters::Task<CallOutcome> CallRunner::run(adapters::HttpExchange &exchange, CallPlan plan)
{
    CallOutcome outcome;
    BodySource body(exchange, m_replayBytes);
    exchange.limitBody(plan.m_maximumBodyBytes);
    std::set<std::string> excluded;
    RefusalReply refusal{503, true, "no-backend-server", DefaultRetryDelay};
    // Extra attempts that are still held here; the rest is with the subtree of the attempt.
    int held = plan.m_context.m_extraAttempts;
    for (int number = 0;; ++number) {
        const std::optional<std::string> node = m_choose(plan, excluded);
        if (!node)
            break;
        if (number > 0)
            --held;
        const int handedOver = held / 2;
        held -= handedOver;
        excluded.insert(*node);
        outcome.m_node = *node;
        ++outcome.m_attempts;
        Attempt current{exchange, body, plan, {}, refusal, true, 0};
        current.m_call = m_calls.start({false, *node}, makeStart(plan, number, handedOver));
        const AttemptEnd end = co_await attempt(current);
        m_calls.finish(current.m_call);
        held += std::min(current.m_unusedExtraAttempts, handedOver);
        outcome.m_unusedExtraAttempts = held;
        refusal = current.m_refusal;
        if (end == AttemptEnd::Answered) {
            outcome.m_status = current.m_call->m_head->m_status;
            co_return outcome;
        }
        if (end == AttemptEnd::CallerGone) {
            outcome.m_reason = "caller-gone";
            exchange.abort();
            co_return outcome;
        }
        const bool mayRepeat = refusal.m_notRun || !plan.m_context.m_onceOnly;
        if (end == AttemptEnd::CallerBodyFailed || !current.m_retryable || !mayRepeat || held == 0
            || current.late() || !body.rewind())
            break;
    }
    outcome.m_status = refusal.m_status;
    outcome.m_refused = true;
    outcome.m_reason = refusal.m_reason;
    co_await sendRefusal(exchange, refusal, plan.m_context.m_requestId);
    co_return outcome;
}

adapters::Task<CallRunner::AttemptEnd> CallRunner::attempt(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    if (attempt.m_plan.m_head.m_hasBody && !co_await sendBody(attempt))
        co_return AttemptEnd::CallerBodyFailed;
    if (attempt.m_exchange.bodyRead())
        attempt.m_exchange.watchDisconnect(call.m_changed);
    co_await waitForAnswer(attempt);
    attempt.m_exchange.stopWatching();
    if (attempt.callerGone())
        co_return AttemptEnd::CallerGone;
    if (call.m_head)
        co_return co_await streamAnswer(attempt) ? AttemptEnd::Answered : AttemptEnd::CallerGone;
    if (call.m_refusal) {
        attempt.m_refusal = {call.m_refusal->m_status, call.m_refusal->m_notRun,
                             call.m_refusal->m_reason, call.m_refusal->m_retryAfter};
        attempt.m_retryable = call.m_refusal->m_retryable;
        attempt.m_unusedExtraAttempts = call.m_refusal->m_unusedExtraAttempts;
    } else if (call.m_undelivered) {
        attempt.m_refusal = {503, true, "node-unreachable", DefaultRetryDelay};
        attempt.m_unusedExtraAttempts = attempt.m_plan.m_context.m_extraAttempts;
    } else if (call.m_broken) {
        attempt.m_refusal = {502, false, "node-failed", DefaultRetryDelay};
    } else {
        attempt.m_refusal = {504, false, "deadline", DefaultRetryDelay};
        attempt.m_retryable = false;
    }
    co_return AttemptEnd::Failed;
}

adapters::Task<bool> CallRunner::sendBody(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    std::string data;
    while (!call.m_head && !call.ended() && !attempt.late()) {
        if (call.m_bodyCredit == 0) {
            co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
            continue;
        }
        const std::size_t step = std::min<std::uint64_t>(call.m_bodyCredit, messages::ChunkBytes);
        const BodyRead read = co_await attempt.m_body.read(data, step);
        if (read == BodyRead::TooLarge || read == BodyRead::Failed) {
            // The beginning of the request may have reached the backend server.
            attempt.m_refusal = read == BodyRead::TooLarge
                    ? RefusalReply{413, false, "body-too-large", {}}
                    : RefusalReply{408, false, "body-incomplete", {}};
            co_return false;
        }
        const bool last = read == BodyRead::End || attempt.m_body.atEnd();
        m_calls.sendBody(call, data, last);
        if (last)
            break;
    }
    co_return true;
}

adapters::Task<> CallRunner::waitForAnswer(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    while (!call.m_head && !call.ended() && !attempt.late() && !attempt.callerGone())
        co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
}

adapters::Task<bool> CallRunner::streamAnswer(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    adapters::HttpExchange &exchange = attempt.m_exchange;
    adapters::HttpResponseHead head;
    head.m_status = call.m_head->m_status;
    head.m_bodyBytes = call.m_head->m_bodyBytes;
    for (const messages::HeaderField &field : call.m_head->m_fields)
        head.m_fields.push_back({field.m_name, field.m_value});
    head.m_fields.push_back(
            {"Chervilmount-Request-Id", toHex(attempt.m_plan.m_context.m_requestId)});
    if (!co_await exchange.startResponse(head))
        co_return false;
    const std::unique_ptr<XXH3_state_t, FreeChecksum> checksum(XXH3_createState());
    XXH3_64bits_reset(checksum.get());
    std::uint64_t total = 0;
    for (;;) {
        while (call.m_chunks.empty() && !call.ended() && !attempt.late())
            co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
        if (call.m_chunks.empty())
            break;
        const std::string data = std::move(call.m_chunks.front());
        call.m_chunks.pop_front();
        XXH3_64bits_update(checksum.get(), data.data(), data.size());
        total += data.size();
        if (!co_await exchange.writeBody(data))
            co_return false;
        m_calls.acknowledge(call, data.size());
    }
    if (!call.m_end || !call.m_end->m_complete || call.m_end->m_totalBytes != total
        || call.m_end->m_checksum != XXH3_64bits_digest(checksum.get()))
        co_return false;
    attempt.m_unusedExtraAttempts = call.m_end->m_unusedExtraAttempts;
    co_return co_await exchange.finishResponse();
}

} // namespace chervilmount::node
