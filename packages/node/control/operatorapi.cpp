#include "node/control/operatorapi.h"

#include "node/entry/replies.h"
#include "node/runtime/node.h"

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

json::array toJson(const model::Findings &findings)
{
    json::array list;
    for (const model::Finding &finding : findings) {
        list.push_back(json::object{{"source", finding.m_source},
                                    {"pointer", finding.m_pointer},
                                    {"value", finding.m_value},
                                    {"problem", finding.m_problem},
                                    {"remedy", finding.m_remedy}});
    }
    return list;
}

adapters::Task<> sendPublication(adapters::HttpExchange &exchange, Publication publication)
{
    json::object body;
    int status = 503;
    switch (publication.m_outcome) {
    case PublicationOutcome::Accepted:
        status = 200;
        body = {{"outcome", "accepted"}, {"version", publication.m_version}};
        break;
    case PublicationOutcome::Conflict:
        status = 409;
        body = {{"outcome", "conflict"}, {"version", publication.m_version}};
        break;
    case PublicationOutcome::Invalid:
        status = 422;
        body = {{"outcome", "invalid"}, {"findings", toJson(publication.m_findings)}};
        break;
    case PublicationOutcome::Unknown:
        body = {{"outcome", "unknown"}, {"reason", publication.m_reason}};
        break;
    case PublicationOutcome::Unavailable:
        body = {{"outcome", "unavailable"}, {"reason", publication.m_reason}};
        break;
    }
    co_await sendJson(exchange, status, json::serialize(body));
}

adapters::Task<> publish(Node &node, adapters::HttpExchange &exchange)
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
    Publication publication = co_await node.configurationStore().publish(text, *expected);
    co_await sendPublication(exchange, publication);
}

std::string configurationText(const Node &node)
{
    const auto &current = node.configuration().current();
    json::object body{{"version", current->m_version}, {"hash", current->m_hash}};
    body["set"] = json::parse(current->m_text);
    return json::serialize(body);
}

std::string membersText(const Node &node)
{
    json::array list;
    for (const auto &[address, member] : node.members().all()) {
        list.push_back(json::object{{"failureDomain", member.m_record.m_failureDomain},
                                    {"address", address},
                                    {"incarnation", member.m_record.m_incarnation},
                                    {"service", member.m_record.m_service},
                                    {"slots", member.m_record.m_slots},
                                    {"state", member.m_record.m_state}});
    }
    return json::serialize(json::object{{"members", std::move(list)}});
}

} // namespace

adapters::Task<> handleOperator(Node &node, adapters::HttpExchange &exchange)
{
    const adapters::HttpRequestHead &request = exchange.request();
    const std::string path = request.m_target.substr(0, request.m_target.find('?'));
    const bool get = request.m_method == "GET";
    if (get && path == "/health") {
        co_await sendJson(exchange, 200, R"({"status":"alive"})");
    } else if (get && path == "/ready") {
        const bool ready = node.configuration().current() && !node.isLeaving();
        co_await sendJson(exchange, ready ? 200 : 503,
                          ready ? R"({"ready":true})" : R"({"ready":false})");
    } else if (request.m_method == "POST" && path == "/operators/configuration") {
        co_await publish(node, exchange);
    } else if (get && path == "/operators/configuration") {
        if (node.configuration().current())
            co_await sendJson(exchange, 200, configurationText(node));
        else
            co_await sendJson(exchange, 404, R"({"reason":"no configuration"})");
    } else if (get && path == "/operators/members") {
        co_await sendJson(exchange, 200, membersText(node));
    } else if (request.m_method == "POST" && path == "/operators/drain") {
        node.stop();
        co_await sendJson(exchange, 200, R"({"outcome":"draining"})");
    } else {
        co_await sendJson(exchange, 404, R"({"reason":"no such resource"})");
    }
}

} // namespace chervilmount::node
