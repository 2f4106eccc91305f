#include "node/support/fakeplatform.h"

#include "node/entry/replies.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;
using namespace chervilmount;

namespace {

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

} // namespace

FakePlatform::FakePlatform(const boost::asio::any_io_executor &executor)
    : m_listener(executor, "127.0.0.1:0", {},
                 [this](adapters::HttpExchange &exchange) { return handle(exchange); })
{
}

std::string FakePlatform::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener.localEndpoint().port());
}

adapters::Task<> FakePlatform::handle(adapters::HttpExchange &exchange)
{
    const std::string rows = "/table/rows/";
    const std::string prefixed = "/table/rows?prefix=";
    const std::string objects = "/objects/";
    const std::string target = exchange.request().m_target;
    const std::string method = exchange.request().m_method;
    std::string body;
    co_await exchange.readWholeBody(body);
    if (m_down) {
        co_await node::sendJson(exchange, 503, "{}");
    } else if (target.starts_with(rows)) {
        const auto row = m_rows.find(decodePercent(target.substr(rows.size())));
        if (row == m_rows.end())
            co_await node::sendJson(exchange, 404, "{}");
        else
            co_await node::sendJson(exchange, 200, rowText(row->second));
    } else if (target.starts_with(prefixed)) {
        co_await node::sendJson(exchange, 200,
                                rowsText(decodePercent(target.substr(prefixed.size()))));
    } else if (target == "/table/transaction") {
        ++m_transactions;
        const std::string results = transact(json::parse(body));
        if (m_lostWriteResponses > 0) {
            --m_lostWriteResponses;
            exchange.abort();
        } else {
            co_await node::sendJson(exchange, 200, results);
        }
    } else if (target.starts_with(objects) && method == "PUT") {
        m_objects[decodePercent(target.substr(objects.size()))] = body;
        co_await node::sendJson(exchange, 200, "{}");
    } else {
        const auto object = m_objects.find(decodePercent(target.substr(objects.size())));
        if (object == m_objects.end())
            co_await node::sendJson(exchange, 404, "{}");
        else
            co_await node::sendJson(exchange, 200, object->second);
    }
}

std::string FakePlatform::rowText(const Row &row)
{
    return json::serialize(json::object{{"revision", row.m_revision}, {"value", row.m_value}});
}

std::string FakePlatform::rowsText(const std::string &prefix) const
{
    json::array list;
    for (const auto &[name, row] : m_rows) {
        if (name.starts_with(prefix))
            list.push_back(json::object{
                    {"row", name}, {"revision", row.m_revision}, {"value", row.m_value}});
    }
    return json::serialize(json::object{{"rows", std::move(list)}});
}

std::string FakePlatform::transact(const json::value &request)
{
    const auto applies = [this](const json::value &operation) {
        const auto row = m_rows.find(std::string(operation.at("row").as_string()));
        const std::string condition(operation.at("condition").as_string());
        if (condition == "absent")
            return row == m_rows.end();
        if (condition == "revision")
            return row != m_rows.end()
                    && row->second.m_revision
                    == operation.at("revision").to_number<std::uint64_t>();
        return true;
    };
    bool all = true;
    for (const json::value &operation : request.at("operations").as_array())
        all = all && applies(operation);
    json::array results;
    for (const json::value &operation : request.at("operations").as_array()) {
        const std::string name(operation.at("row").as_string());
        if (!applies(operation) || (request.at("atomic").as_bool() && !all)) {
            const auto row = m_rows.find(name);
            json::object result{{"applied", false}, {"revision", 0}};
            if (row != m_rows.end()) {
                result["revision"] = row->second.m_revision;
                result["value"] = row->second.m_value;
            }
            results.push_back(result);
            continue;
        }
        ++m_revision;
        if (operation.at("kind").as_string() == "delete")
            m_rows.erase(name);
        else
            m_rows[name] = {m_revision, operation.at("value")};
        results.push_back(json::object{{"applied", true}, {"revision", m_revision}});
    }
    return json::serialize(json::object{{"results", results}});
}
