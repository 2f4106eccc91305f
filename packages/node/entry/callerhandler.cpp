#include "node/entry/callerhandler.h"

#include "node/calls/requestids.h"
#include "node/entry/onceonlycalls.h"
#include "node/entry/replies.h"
#include "node/runtime/nodeparts.h"

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

EntryDecision decide(NodeParts &parts, const adapters::HttpRequestHead &head,
                     const model::RequestId &id, steady_clock::time_point now)
{
    if (parts.m_leaving)
        return RefusalReply{503, true, "leaving", std::chrono::milliseconds(200)};
    EntryDecision decision =
            decideCaller(parts.m_entry, parts.entryInput(id, now), parts.m_digester, head);
    const CallPlan *plan = std::get_if<CallPlan>(&decision);
    if (plan == nullptr)
        return decision;
    // Refused before it is charged, because the charge would not be refunded.
    if (!parts.m_router.hasCandidates(plan->m_service, now)) {
        return RefusalReply{503, true, "no-candidate",
                            overload::callerRetryDelay(plan->m_callerRepeats, parts.m_random)};
    }
    const overload::ThresholdDecision shed = parts.m_router.decideSend(
            plan->m_service, plan->m_route, plan->m_context.m_rank, now, parts.m_random);
    if (!shed.m_sendOn) {
        return RefusalReply{503, true, std::string(overload::toText(shed.m_reason)),
                            overload::callerRetryDelay(plan->m_callerRepeats, parts.m_random)};
    }
    return decision;
}

/** Charges a request to the rate of its organisation; replaces the decision with a refusal if the
 * organisation is over its rate. */
adapters::Task<> chargeRequest(NodeParts &parts, EntryDecision &decision)
{
    CallPlan *plan = std::get_if<CallPlan>(&decision);
    if (plan == nullptr || plan->m_context.m_organisation.empty())
        co_return;
    std::string organisation = plan->m_context.m_organisation;
    plan->m_charge = co_await parts.m_rates.charge(std::move(organisation));
    if (plan->m_charge)
        co_return;
    const bool unresponsive = parts.m_rates.holdersAreUnresponsive(plan->m_context.m_organisation,
                                                                   steady_clock::now());
    RefusalReply refusal{unresponsive ? 503 : 429, true,
                         unresponsive ? "rate-holder-unreachable" : "rate",
                         overload::callerRetryDelay(plan->m_callerRepeats, parts.m_random)};
    decision = std::move(refusal);
}

adapters::Task<CallOutcome> runPlan(NodeParts &parts, adapters::HttpExchange &exchange,
                                    CallPlan plan)
{
    CallOutcome outcome;
    if (plan.m_context.m_onceOnly) {
        const OnceOnlyLimits limits{parts.m_settings.m_onceOnlyBodyBytes,
                                    parts.m_settings.m_recordedResponseBytes};
        outcome = co_await runOnceOnly(parts.m_claims, parts.m_runner, limits, exchange,
                                       std::move(plan));
        co_return outcome;
    }
    BodySource body(exchange, parts.m_settings.m_replayBytes);
    exchange.limitBody(plan.m_maximumBodyBytes);
    overload::AttemptAllowance allowance{plan.m_context.m_extraAttempts, false};
    outcome = co_await parts.m_runner.run(exchange, body, std::move(plan), allowance, nullptr);
    co_return outcome;
}

void recordEnd(NodeParts &parts, const model::RequestId &id, const CallOutcome &outcome,
               steady_clock::time_point startedAt)
{
    const std::chrono::nanoseconds time = steady_clock::now() - startedAt;
    const bool broken = !outcome.m_refusal && outcome.m_status == 0;
    const std::string reason = outcome.m_refusal ? outcome.m_refusal->m_reason
            : broken                             ? "broken"
                                                 : "answered";
    parts.m_recorder.metrics().add("chervilmount_requests_total", {{"outcome", reason}});
    parts.m_recorder.metrics().record("chervilmount_request_seconds", {}, time);
    parts.m_recorder.record(id, "entry",
                            {{"decision", "end"},
                             {"reason", reason},
                             {"status", std::to_string(outcome.m_status)},
                             {"attempts", std::to_string(outcome.m_attempts)},
                             {"microseconds", std::to_string(time.count() / 1000)}});
}

void recordPlan(NodeParts &parts, const CallPlan &plan)
{
    parts.m_recorder.record(plan.m_context.m_requestId, "entry",
                            {{"decision", "admit"},
                             {"route", plan.m_route},
                             {"organisation", plan.m_context.m_organisation},
                             {"rank", std::to_string(plan.m_context.m_rank)}});
}

} // namespace

adapters::Task<> handleCaller(NodeParts &parts, adapters::HttpExchange &exchange)
{
    const steady_clock::time_point startedAt = steady_clock::now();
    const model::RequestId id = newRequestId(parts.m_random);
    EntryDecision decision = decide(parts, exchange.request(), id, startedAt);
    co_await chargeRequest(parts, decision);
    CallOutcome outcome;
    if (CallPlan *plan = std::get_if<CallPlan>(&decision)) {
        recordPlan(parts, *plan);
        const int repeats = plan->m_callerRepeats;
        outcome = co_await runPlan(parts, exchange, *plan);
        if (plan->m_charge && outcome.m_refusal && outcome.m_refusal->m_notRun)
            parts.m_rates.credit(*plan->m_charge);
        if (outcome.m_refusal && outcome.m_refusal->m_retryAfter.count() > 0)
            outcome.m_refusal->m_retryAfter = overload::callerRetryDelay(repeats, parts.m_random);
    } else {
        outcome.m_refusal = std::get<RefusalReply>(decision);
        outcome.m_status = outcome.m_refusal->m_status;
    }
    recordEnd(parts, id, outcome, startedAt);
    if (outcome.m_refusal)
        co_await sendRefusal(exchange, *outcome.m_refusal, id);
}

} // namespace chervilmount::node
