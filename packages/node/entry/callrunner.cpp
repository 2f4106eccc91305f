#include "node/entry/callrunner.h"

#include "messages/codec/framecodec.h"
#include "node/calls/bodychecksum.h"
#include "node/calls/requestids.h"
#include "node/entry/callerrequests.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using BodyRead = adapters::HttpExchange::BodyRead;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds DefaultRetryDelay{200};

} // namespace

struct CallRunner::Attempt
{
    adapters::HttpExchange &m_exchange;
    BodySource &m_body;
    const CallPlan &m_plan;
    ResponseCopy *m_copy = nullptr;
    std::string m_node;
    overload::AttemptAllowance m_allowance;
    std::shared_ptr<OutgoingCall> m_call;
    RefusalReply m_refusal;
    overload::Failure m_failure = overload::Failure::MayHaveRun;

    bool isCallerGone() const { return m_exchange.isDisconnected(); }
    bool isPastDeadline() const { return steady_clock::now() >= m_plan.m_context.m_deadline; }
    std::optional<messages::LoadReport> load() const
    {
        if (m_call->m_end)
            return m_call->m_end->m_load;
        if (m_call->m_refusal)
            return m_call->m_refusal->m_load;
        if (m_call->m_head)
            return m_call->m_head->m_load;
        return std::nullopt;
    }
    int unusedExtraAttempts() const
    {
        if (m_call->m_end)
            return m_call->m_end->m_unusedExtraAttempts;
        if (m_call->m_refusal)
            return m_call->m_refusal->m_unusedExtraAttempts;
        return m_call->m_undelivered ? m_allowance.m_extraAttempts : 0;
    }
};

CallRunner::CallRunner(OutgoingCalls &calls, ServiceRouter &router, DecisionRecorder &recorder,
                       std::mt19937_64 &random)
    : m_calls(calls)
    , m_router(router)
    , m_recorder(recorder)
    , m_random(random)
{
}

messages::CallStart CallRunner::makeStart(const CallPlan &plan, int number,
                                          const overload::AttemptAllowance &allowance) const
{
    messages::CallStart start;
    start.m_key.m_requestId = plan.m_context.m_requestId;
    start.m_key.m_attempt = static_cast<std::uint32_t>(number);
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
    const steady_clock::time_point now = steady_clock::now();
    start.m_remaining =
            std::chrono::duration_cast<std::chrono::microseconds>(overload::remainingTime(
                    overload::deadlineForCallee(plan.m_context.m_deadline, now), now));
    start.m_extraAttempts = allowance.m_extraAttempts;
    start.m_repeat = allowance.m_repeat;
    start.m_pathDepth = plan.m_context.m_pathDepth;
    start.m_rank = plan.m_context.m_rank;
    start.m_onceOnly = plan.m_context.m_onceOnly;
    return start;
}

adapters::Task<CallOutcome> CallRunner::run(adapters::HttpExchange &exchange, BodySource &body,
                                            CallPlan plan, overload::AttemptAllowance &own,
                                            ResponseCopy *copy)
{
    CallOutcome outcome;
    RefusalReply refusal{503, true, "no-candidate", DefaultRetryDelay};
    RouteRequest request{
            plan.m_service, plan.m_route, plan.m_context.m_rank, plan.m_crossRegion, {}};
    std::optional<overload::AttemptAllowance> allowance =
            overload::allowFirstAttempt(own, plan.m_nestedCalls);
    if (!allowance) {
        refusal.m_reason = overload::toText(overload::Reason::NoExtraAttemptsLeft);
        outcome.m_refusal = refusal;
        co_return outcome;
    }
    bool sent = false;
    for (int number = 0;; ++number) {
        const ChosenNode chosen = m_router.choose(request, steady_clock::now(), m_random);
        m_recorder.record(plan.m_context.m_requestId, "route",
                          {{"decision", chosen.m_address.empty() ? "none" : "send"},
                           {"service", plan.m_service},
                           {"route", plan.m_route},
                           {"node", chosen.m_address},
                           {"attempt", std::to_string(number)},
                           {"reason", std::string(overload::toText(chosen.m_reason))}});
        if (chosen.m_address.empty()) {
            own.m_extraAttempts += allowance->m_extraAttempts;
            if (!sent)
                refusal.m_reason = overload::toText(chosen.m_reason);
            break;
        }
        sent = true;
        ++outcome.m_attempts;
        m_recorder.metrics().add("chervilmount_attempts_total",
                                 {{"number", std::to_string(number)}});
        Attempt current{exchange, body, plan, copy, chosen.m_address, *allowance, {}, refusal};
        current.m_call =
                m_calls.start({false, chosen.m_address}, makeStart(plan, number, *allowance));
        const AttemptEnd end = co_await attempt(current);
        m_calls.finish(current.m_call);
        reportEnd(current, end);
        if (const std::optional<messages::LoadReport> load = current.load())
            outcome.m_threshold = std::min(outcome.m_threshold, load->m_threshold);
        overload::takeBackUnused(own, *allowance, current.unusedExtraAttempts());
        refusal = current.m_refusal;
        if (end == AttemptEnd::Answered) {
            outcome.m_status = current.m_call->m_head->m_status;
            co_return outcome;
        }
        if (end == AttemptEnd::CallerGone) {
            exchange.abort();
            co_return outcome;
        }
        request.m_tried.insert(chosen.m_address);
        // Retries do not use the paid link between regions.
        request.m_crossRegion = false;
        if (end == AttemptEnd::CallerBodyFailed || !body.rewind())
            break;
        const overload::RetryDecision retry = decideRetry(current, own);
        if (!retry.m_allowance)
            break;
        allowance = retry.m_allowance;
        co_await adapters::sleepFor(retry.m_delay);
    }
    outcome.m_status = refusal.m_status;
    outcome.m_refusal = refusal;
    co_return outcome;
}

overload::RetryDecision CallRunner::decideRetry(const Attempt &attempt,
                                                overload::AttemptAllowance &own)
{
    const CallPlan &plan = attempt.m_plan;
    overload::FailedAttempt failed;
    failed.m_failure = attempt.m_failure;
    failed.m_onceOnly = plan.m_context.m_onceOnly;
    failed.m_nestedCalls = plan.m_nestedCalls;
    failed.m_deadline = plan.m_context.m_deadline;
    const overload::RetryDecision decision = overload::decideRetry(
            failed, own, m_router.budget(plan.m_service), {}, steady_clock::now(), m_random);
    m_recorder.record(plan.m_context.m_requestId, "retry",
                      {{"decision", decision.m_allowance ? "retry" : "stop"},
                       {"reason", std::string(overload::toText(decision.m_reason))},
                       {"failure", attempt.m_refusal.m_reason}});
    return decision;
}

void CallRunner::reportEnd(const Attempt &attempt, AttemptEnd end)
{
    routing::AttemptResult result = routing::AttemptResult::NotCounted;
    const OutgoingCall &call = *attempt.m_call;
    if (end == AttemptEnd::Answered)
        result = call.m_head->m_status < 500 ? routing::AttemptResult::Success
                                             : routing::AttemptResult::NotCounted;
    else if (end == AttemptEnd::Failed && !call.m_refusal && attempt.isPastDeadline())
        result = routing::AttemptResult::Timeout;
    else if (end == AttemptEnd::Failed && (!call.m_refusal || !call.m_refusal->m_notRun))
        result = routing::AttemptResult::Failure;
    m_router.finish(attempt.m_plan.m_service, attempt.m_plan.m_route, attempt.m_node, result,
                    attempt.load(), steady_clock::now());
}

adapters::Task<CallRunner::AttemptEnd> CallRunner::attempt(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    if (attempt.m_plan.m_head.m_hasBody) {
        const bool sent = co_await sendBody(attempt);
        if (!sent)
            co_return AttemptEnd::CallerBodyFailed;
    }
    if (attempt.m_exchange.bodyRead())
        attempt.m_exchange.watchDisconnect(call.m_changed);
    co_await waitForAnswer(attempt);
    attempt.m_exchange.stopWatching();
    if (attempt.isCallerGone())
        co_return AttemptEnd::CallerGone;
    if (!call.m_head) {
        classifyFailure(attempt);
        co_return AttemptEnd::Failed;
    }
    const bool answered = co_await streamAnswer(attempt);
    co_return answered ? AttemptEnd::Answered : AttemptEnd::CallerGone;
}

void CallRunner::classifyFailure(Attempt &attempt) const
{
    const OutgoingCall &call = *attempt.m_call;
    if (call.m_refusal) {
        const messages::Refusal &refusal = *call.m_refusal;
        attempt.m_refusal = {refusal.m_status, refusal.m_notRun, refusal.m_reason,
                             refusal.m_retryAfter};
        attempt.m_failure =
                refusal.m_notRun ? overload::Failure::NotRun : overload::Failure::MayHaveRun;
        if (!refusal.m_retryable)
            attempt.m_failure = overload::Failure::FurtherDown;
    } else if (call.m_undelivered) {
        attempt.m_refusal = {503, true, "node-unreachable", DefaultRetryDelay};
        attempt.m_failure = overload::Failure::NotRun;
    } else if (call.m_broken) {
        attempt.m_refusal = {502, false, "node-failed", DefaultRetryDelay};
    } else {
        attempt.m_refusal = {504, false, "deadline", DefaultRetryDelay};
    }
}

adapters::Task<bool> CallRunner::sendBody(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    std::string data;
    while (!call.m_head && !call.ended() && !attempt.isPastDeadline()) {
        if (call.m_bodyCredit == 0) {
            co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
            continue;
        }
        const std::size_t step = std::min<std::uint64_t>(call.m_bodyCredit, messages::ChunkBytes);
        const BodyRead read = co_await attempt.m_body.read(data, step);
        if (read == BodyRead::TooLarge || read == BodyRead::Failed) {
            // Part of the request may already have reached the backend server.
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
    while (!call.m_head && !call.ended() && !attempt.isPastDeadline() && !attempt.isCallerGone())
        co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
}

adapters::Task<bool> CallRunner::streamAnswer(Attempt &attempt)
{
    const OutgoingCall &call = *attempt.m_call;
    adapters::HttpResponseHead head;
    head.m_status = call.m_head->m_status;
    head.m_bodyBytes = call.m_head->m_bodyBytes;
    for (const messages::HeaderField &field : call.m_head->m_fields)
        head.m_fields.push_back({field.m_name, field.m_value});
    // The node's own statements, such as whether the request has run, are not the server's to make.
    removeReservedFields(head.m_fields);
    head.m_fields.push_back(
            {"Chervilmount-Request-Id", toHex(attempt.m_plan.m_context.m_requestId)});
    if (attempt.m_copy != nullptr)
        attempt.m_copy->start(head);
    const bool started = co_await attempt.m_exchange.startResponse(head);
    if (!started)
        co_return false;
    const bool whole = co_await streamBody(attempt);
    if (!whole)
        co_return false;
    const bool finished = co_await attempt.m_exchange.finishResponse();
    co_return finished;
}

adapters::Task<bool> CallRunner::streamBody(Attempt &attempt)
{
    OutgoingCall &call = *attempt.m_call;
    BodyChecksum checksum;
    std::uint64_t total = 0;
    for (;;) {
        while (call.m_chunks.empty() && !call.ended() && !attempt.isPastDeadline())
            co_await call.m_changed->waitUntil(attempt.m_plan.m_context.m_deadline);
        if (call.m_chunks.empty())
            break;
        const std::string data = std::move(call.m_chunks.front());
        call.m_chunks.pop_front();
        checksum.add(data);
        total += data.size();
        if (attempt.m_copy != nullptr)
            attempt.m_copy->add(data);
        const bool written = co_await attempt.m_exchange.writeBody(data);
        if (!written)
            co_return false;
        m_calls.acknowledge(call, data.size());
    }
    co_return call.m_end &&call.m_end->m_complete &&call.m_end->m_totalBytes
            == total &&call.m_end->m_checksum == checksum.value();
}

} // namespace chervilmount::node
