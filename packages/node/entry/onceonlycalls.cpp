#include "node/entry/onceonlycalls.h"

#include "model/digest/sha256.h"
#include "node/entry/recordedresponse.h"

#include <utility>

namespace chervilmount::node {

namespace {

constexpr std::chrono::milliseconds DefaultRetryDelay{500};

// The claim may use half of the time until the deadline; the rest is left for the call.
constexpr int ClaimTimeDivisor = 2;

sharedstate::ClaimWanted makeClaim(const CallPlan &plan, const std::string &body)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    sharedstate::ClaimWanted wanted;
    wanted.m_organisation = plan.m_context.m_organisation;
    wanted.m_keyHash = model::toHex(model::sha256(plan.m_idempotencyKey));
    const model::Digest content = model::sha256(body);
    wanted.m_digest = model::toHex(model::sha256(plan.m_head.m_method + "\n" + plan.m_head.m_target
                                                 + "\n" + model::toHex(content)));
    wanted.m_deadline = now + (plan.m_context.m_deadline - now) / ClaimTimeDivisor;
    return wanted;
}

RefusalReply refusalOf(const sharedstate::ClaimDecision &decision)
{
    switch (decision.m_verdict) {
    case sharedstate::ClaimVerdict::OutcomeUnknown:
        return {409, false, "outcome-unknown", DefaultRetryDelay};
    case sharedstate::ClaimVerdict::DigestMismatch:
        return {422, true, "idempotency-key-reused", {}};
    default:
        return {503, true, decision.m_reason, DefaultRetryDelay};
    }
}

void settle(ClaimService &claims, std::uint64_t call, const CallOutcome &outcome,
            ResponseRecorder &recorder)
{
    if (outcome.m_refusal && outcome.m_refusal->m_notRun) {
        claims.notRun(call);
        return;
    }
    std::optional<RecordedResponse> response;
    if (!outcome.m_refusal && outcome.m_status != 0)
        response = recorder.take();
    if (response)
        claims.answered(call, toBytes(*response));
    else
        claims.outcomeUnknown(call);
}

adapters::Task<CallOutcome> replay(adapters::HttpExchange &exchange, std::string bytes)
{
    CallOutcome outcome;
    const std::optional<RecordedResponse> response = recordedResponseFromBytes(bytes);
    if (!response) {
        outcome.m_refusal = RefusalReply{409, false, "outcome-unknown", DefaultRetryDelay};
        co_return outcome;
    }
    outcome.m_status = response->m_head.m_status;
    co_await exchange.respond(response->m_head, response->m_body);
    co_return outcome;
}

} // namespace

adapters::Task<CallOutcome> runOnceOnly(ClaimService &claims, CallRunner &runner,
                                        OnceOnlyLimits limits, adapters::HttpExchange &exchange,
                                        CallPlan plan)
{
    CallOutcome outcome;
    BodySource body(exchange, limits.m_bodyBytes);
    exchange.limitBody(plan.m_maximumBodyBytes);
    const adapters::HttpExchange::BodyRead read = co_await body.readWhole(limits.m_bodyBytes);
    if (read != adapters::HttpExchange::BodyRead::Data) {
        const bool tooLarge = read == adapters::HttpExchange::BodyRead::TooLarge;
        outcome.m_refusal = tooLarge ? RefusalReply{413, true, "body-too-large", {}}
                                     : RefusalReply{408, true, "body-incomplete", {}};
        co_return outcome;
    }
    sharedstate::ClaimWanted wanted = makeClaim(plan, body.buffered());
    const sharedstate::ClaimDecision decision = co_await claims.claim(std::move(wanted));
    if (decision.m_verdict == sharedstate::ClaimVerdict::ReplayResponse) {
        outcome = co_await replay(exchange, decision.m_response);
        co_return outcome;
    }
    if (decision.m_verdict != sharedstate::ClaimVerdict::Dispatch) {
        outcome.m_refusal = refusalOf(decision);
        co_return outcome;
    }
    ResponseRecorder recorder(limits.m_responseBytes);
    overload::AttemptAllowance allowance{plan.m_context.m_extraAttempts, false};
    try {
        outcome = co_await runner.run(exchange, body, std::move(plan), allowance, &recorder);
    } catch (const std::exception &) {
        claims.outcomeUnknown(decision.m_call);
        throw;
    }
    settle(claims, decision.m_call, outcome, recorder);
    co_return outcome;
}

} // namespace chervilmount::node
