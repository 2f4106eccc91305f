#include "node/inbound/localhandler.h"

#include "node/calls/requestids.h"
#include "node/entry/nestedcalls.h"
#include "node/entry/replies.h"
#include "node/runtime/nodeparts.h"

#include <boost/json/parse.hpp>

#include <cmath>
#include <optional>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

std::optional<Announcement> parseAnnouncement(const std::string &text)
{
    try {
        const boost::json::value document = boost::json::parse(text);
        Announcement announcement;
        announcement.m_service = std::string(document.at("service").as_string());
        announcement.m_address = std::string(document.at("address").as_string());
        announcement.m_slots = document.at("slots").to_number<std::uint32_t>();
        announcement.m_connections = document.at("connections").to_number<std::uint32_t>();
        if (const boost::json::value *load = document.as_object().if_contains("load"))
            announcement.m_load = load->to_number<double>();
        if (!std::isfinite(announcement.m_load))
            return std::nullopt;
        return announcement;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool applyAnnouncement(NodeParts &parts, const std::string &text)
{
    const std::optional<Announcement> announcement = parseAnnouncement(text);
    if (!announcement)
        return false;
    try {
        parts.m_incoming.announce(*announcement, steady_clock::now());
    } catch (const std::invalid_argument &) {
        return false;
    }
    if (!parts.m_leaving) {
        parts.m_membership.handleEvent(
                membership::BackendAnnounced{announcement->m_service, announcement->m_slots});
    }
    return true;
}

adapters::Task<> handleAnnounce(NodeParts &parts, adapters::HttpExchange &exchange)
{
    std::string text;
    const adapters::HttpExchange::BodyRead read = co_await exchange.readWholeBody(text);
    if (read != adapters::HttpExchange::BodyRead::Data)
        co_await sendJson(exchange, 413, R"({"reason":"the body is too large or incomplete"})");
    else if (applyAnnouncement(parts, text))
        co_await sendJson(exchange, 200, "{}");
    else
        co_await sendJson(exchange, 400, R"({"reason":"malformed announcement"})");
}

adapters::Task<CallOutcome> runNested(NodeParts &parts, adapters::HttpExchange &exchange,
                                      CallPlan plan, IncomingCall *parent)
{
    BodySource body(exchange, parts.m_settings.m_replayBytes);
    exchange.limitBody(plan.m_maximumBodyBytes);
    overload::AttemptAllowance own{plan.m_context.m_extraAttempts, false};
    overload::AttemptAllowance &allowance = parent == nullptr ? own : parent->m_allowance;
    const CallOutcome outcome =
            co_await parts.m_runner.run(exchange, body, std::move(plan), allowance, nullptr);
    co_return outcome;
}

adapters::Task<> handleNested(NodeParts &parts, adapters::HttpExchange &exchange)
{
    const model::RequestId id = newRequestId(parts.m_random);
    const std::shared_ptr<IncomingCall> parent = parts.m_incoming.findByToken(
            std::string(exchange.request().field("Chervilmount-Context")));
    EntryDecision decision = decideNested(parts.entryInput(id, steady_clock::now()), parent.get(),
                                          exchange.request());
    const model::RequestId requestId = parent ? parent->m_start.m_key.m_requestId : id;
    if (const RefusalReply *refusal = std::get_if<RefusalReply>(&decision)) {
        co_await sendRefusal(exchange, *refusal, requestId);
        co_return;
    }
    if (parent)
        beginNestedCall(*parent, steady_clock::now());
    CallOutcome outcome;
    std::exception_ptr failure;
    try {
        outcome = co_await runNested(parts, exchange, std::move(std::get<CallPlan>(decision)),
                                     parent.get());
    } catch (const std::exception &) {
        failure = std::current_exception();
    }
    if (parent) {
        endNestedCall(*parent, steady_clock::now());
        parent->m_calleeThreshold = std::min(parent->m_calleeThreshold, outcome.m_threshold);
        if (failure || outcome.m_refusal || outcome.m_status == 0 || outcome.m_status >= 500)
            parent->m_nestedFailed = true;
    }
    if (failure)
        std::rethrow_exception(failure);
    if (outcome.m_refusal)
        co_await sendRefusal(exchange, *outcome.m_refusal, requestId);
}

} // namespace

adapters::Task<> handleLocal(NodeParts &parts, adapters::HttpExchange &exchange)
{
    const adapters::HttpRequestHead &request = exchange.request();
    if (request.m_method == "POST" && request.m_target == "/backend/announce") {
        co_await handleAnnounce(parts, exchange);
    } else if (request.m_method == "POST" && request.m_target == "/backend/leave") {
        parts.m_backend.withdraw();
        parts.m_membership.handleEvent(membership::BackendLost{});
        co_await sendJson(exchange, 200, "{}");
    } else {
        co_await handleNested(parts, exchange);
    }
}

} // namespace chervilmount::node
