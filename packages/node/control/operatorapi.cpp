#include "node/control/operatorapi.h"

#include "node/calls/requestids.h"
#include "node/control/operatorviews.h"
#include "node/entry/replies.h"
#include "node/runtime/nodeparts.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace chervilmount::node {

namespace {

namespace json = boost::json;

std::optional<std::uint64_t> queryNumber(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view query = target.substr(question + 1);
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        if (!item.starts_with(name) || item.size() <= name.size() || item[name.size()] != '=')
            continue;
        const std::string_view text = item.substr(name.size() + 1);
        std::uint64_t number = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec == std::errc() && result.ptr == text.data() + text.size())
            return number;
        return std::nullopt;
    }
    return std::nullopt;
}

int statusOf(PublicationOutcome outcome)
{
    switch (outcome) {
    case PublicationOutcome::Accepted:
        return 200;
    case PublicationOutcome::Conflict:
        return 409;
    case PublicationOutcome::Invalid:
        return 422;
    case PublicationOutcome::Unknown:
    case PublicationOutcome::Unavailable:
        break;
    }
    return 503;
}

json::object bodyOf(const Publication &publication)
{
    switch (publication.m_outcome) {
    case PublicationOutcome::Accepted:
        return {{"outcome", "accepted"}, {"version", publication.m_version}};
    case PublicationOutcome::Conflict:
        return {{"outcome", "conflict"},
                {"version", publication.m_version},
                {"difference", publication.m_difference}};
    case PublicationOutcome::Invalid:
        return {{"outcome", "invalid"}, {"findings", findingsJson(publication.m_findings)}};
    case PublicationOutcome::Unknown:
        return {{"outcome", "unknown"}, {"reason", publication.m_reason}};
    case PublicationOutcome::Unavailable:
        break;
    }
    return {{"outcome", "unavailable"}, {"reason", publication.m_reason}};
}

adapters::Task<> publish(NodeParts &parts, adapters::HttpExchange &exchange)
{
    const auto expected = queryNumber(exchange.request().m_target, "expectedVersion");
    if (!expected) {
        co_await sendJson(exchange, 400, R"({"reason":"expectedVersion is missing"})");
        co_return;
    }
    std::string text;
    const auto read = co_await exchange.readWholeBody(text);
    if (read != adapters::HttpExchange::BodyRead::Data) {
        co_await sendJson(exchange, 413, R"({"reason":"the body is too large or incomplete"})");
        co_return;
    }
    const Publication publication = co_await parts.m_configurationStore.publish(text, *expected);
    const std::string body = json::serialize(bodyOf(publication));
    co_await sendJson(exchange, statusOf(publication.m_outcome), body);
}

constexpr std::string_view RequestPath = "/operators/requests/";

adapters::Task<> sendRequestView(NodeParts &parts, adapters::HttpExchange &exchange,
                                 std::string idText)
{
    const std::optional<model::RequestId> id = requestIdFromHex(idText);
    const std::vector<RecordedDecision> *decisions = id ? parts.m_recorder.find(*id) : nullptr;
    if (decisions == nullptr)
        co_await sendJson(exchange, 404, R"({"reason":"the request is not known here"})");
    else
        co_await sendJson(exchange, 200, requestView(idText, *decisions));
}

adapters::Task<> sendMetrics(NodeParts &parts, adapters::HttpExchange &exchange)
{
    adapters::HttpResponseHead head;
    head.m_status = 200;
    head.m_fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    const std::string text = metricsText(parts);
    co_await exchange.respond(head, text);
}

adapters::Task<> handleGet(NodeParts &parts, adapters::HttpExchange &exchange, std::string path)
{
    if (path == "/health") {
        co_await sendJson(exchange, 200, R"({"status":"alive"})");
    } else if (path == "/ready") {
        const bool ready = isReady(parts);
        const std::string text = ready ? R"({"ready":true})" : R"({"ready":false})";
        co_await sendJson(exchange, ready ? 200 : 503, text);
    } else if (path == "/metrics") {
        co_await sendMetrics(parts, exchange);
    } else if (path == "/operators/configuration") {
        std::string view = configurationView(parts);
        const int status = view.empty() ? 404 : 200;
        if (view.empty())
            view = R"({"reason":"no configuration"})";
        co_await sendJson(exchange, status, view);
    } else if (path == "/operators/members") {
        co_await sendJson(exchange, 200, membersView(parts));
    } else if (path == "/operators/limits") {
        co_await sendJson(exchange, 200, limitsView(parts));
    } else if (path == "/operators/routes") {
        co_await sendJson(exchange, 200, routesView(parts));
    } else if (path == "/operators/leases") {
        const std::string text = leasesView(parts, std::chrono::steady_clock::now());
        co_await sendJson(exchange, 200, text);
    } else if (path.starts_with(RequestPath)) {
        co_await sendRequestView(parts, exchange, path.substr(RequestPath.size()));
    } else {
        co_await sendJson(exchange, 404, R"({"reason":"no such resource"})");
    }
}

} // namespace

adapters::Task<> handleOperator(NodeParts &parts, adapters::HttpExchange &exchange)
{
    const adapters::HttpRequestHead &request = exchange.request();
    const std::string path = request.m_target.substr(0, request.m_target.find('?'));
    if (request.m_method == "GET") {
        co_await handleGet(parts, exchange, path);
    } else if (request.m_method == "POST" && path == "/operators/configuration") {
        co_await publish(parts, exchange);
    } else if (request.m_method == "POST" && path == "/operators/drain") {
        parts.m_stop();
        co_await sendJson(exchange, 200, R"({"outcome":"draining"})");
    } else {
        co_await sendJson(exchange, 404, R"({"reason":"no such resource"})");
    }
}

} // namespace chervilmount::node
