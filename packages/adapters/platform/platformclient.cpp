#include "adapters/platform/platformclient.h"

#include "adapters/http/httplistener.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cctype>
#include <string_view>
#include <utility>

namespace chervilmount::adapters {

namespace {

namespace json = boost::json;

constexpr std::size_t HeadBytes = 16UL * 1024;
constexpr std::size_t ReadChunkBytes = 32UL * 1024;

PlatformStatus toStatus(bool sent, int status)
{
    if (!sent)
        return PlatformStatus::Refused;
    if (status >= 200 && status < 300)
        return PlatformStatus::Ok;
    if (status == 404)
        return PlatformStatus::Absent;
    // The protocol uses 503 only for requests that had no effect.
    if ((status >= 400 && status < 500) || status == 503)
        return PlatformStatus::Refused;
    return PlatformStatus::Unknown;
}

std::string_view conditionName(RowCondition condition)
{
    switch (condition) {
    case RowCondition::None:
        return "none";
    case RowCondition::Absent:
        return "absent";
    case RowCondition::Revision:
        break;
    }
    return "revision";
}

json::value toJson(const std::vector<RowOperation> &operations, bool atomic)
{
    json::array list;
    for (const RowOperation &operation : operations) {
        json::object item{{"row", operation.m_row},
                          {"kind", operation.m_delete ? "delete" : "put"},
                          {"condition", conditionName(operation.m_condition)}};
        if (operation.m_condition == RowCondition::Revision)
            item["revision"] = operation.m_revision;
        if (!operation.m_delete)
            item["value"] = operation.m_value;
        list.push_back(std::move(item));
    }
    return json::object{{"atomic", atomic}, {"operations", std::move(list)}};
}

TableRow toRow(std::string name, const json::value &value)
{
    return {std::move(name), value.at("revision").to_number<std::uint64_t>(), value.at("value")};
}

RowResult toRowResult(const json::value &value)
{
    RowResult result;
    result.m_applied = value.at("applied").as_bool();
    if (const json::value *revision = value.as_object().if_contains("revision"))
        result.m_revision = revision->is_null() ? 0 : revision->to_number<std::uint64_t>();
    if (const json::value *present = value.as_object().if_contains("value"))
        result.m_value = *present;
    return result;
}

} // namespace

std::string percentEncode(const std::string &text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0
            || std::string_view("-._~").find(character) != std::string::npos) {
            encoded += character;
        } else {
            encoded += '%';
            encoded += Digits[byte / 16];
            encoded += Digits[byte % 16];
        }
    }
    return encoded;
}

PlatformClient::PlatformClient(const boost::asio::any_io_executor &executor,
                               const PlatformSettings &settings)
    : m_executor(executor)
    , m_settings(settings)
    , m_table(parseEndpoint(settings.m_tableAddress))
    , m_objects(parseEndpoint(settings.m_objectAddress))
{
}

Task<RowsResult> PlatformClient::readRow(std::string name)
{
    const Reply reply = co_await request(m_table, "GET", "/table/rows/" + percentEncode(name), "");
    RowsResult result{toStatus(reply.m_sent, reply.m_status), {}};
    if (result.m_status != PlatformStatus::Ok)
        co_return result;
    try {
        result.m_rows.push_back(toRow(name, json::parse(reply.m_body)));
    } catch (const std::exception &) {
        result.m_status = PlatformStatus::Unknown;
    }
    co_return result;
}

Task<RowsResult> PlatformClient::readRows(std::string prefix)
{
    const Reply reply =
            co_await request(m_table, "GET", "/table/rows?prefix=" + percentEncode(prefix), "");
    RowsResult result{toStatus(reply.m_sent, reply.m_status), {}};
    if (result.m_status != PlatformStatus::Ok)
        co_return result;
    try {
        const json::value document = json::parse(reply.m_body);
        for (const json::value &row : document.at("rows").as_array())
            result.m_rows.push_back(toRow(std::string(row.at("row").as_string()), row));
    } catch (const std::exception &) {
        result = {PlatformStatus::Unknown, {}};
    }
    co_return result;
}

Task<TransactionResult> PlatformClient::transact(std::vector<RowOperation> operations, bool atomic)
{
    const Reply reply = co_await request(m_table, "POST", "/table/transaction",
                                         json::serialize(toJson(operations, atomic)));
    TransactionResult result{toStatus(reply.m_sent, reply.m_status), {}};
    if (result.m_status != PlatformStatus::Ok)
        co_return result;
    try {
        const json::value document = json::parse(reply.m_body);
        for (const json::value &item : document.at("results").as_array())
            result.m_results.push_back(toRowResult(item));
    } catch (const std::exception &) {
        result.m_results.clear();
    }
    if (result.m_results.size() != operations.size())
        result = {PlatformStatus::Unknown, {}};
    co_return result;
}

Task<PlatformStatus> PlatformClient::putObject(std::string name, std::string body)
{
    const Reply reply =
            co_await request(m_objects, "PUT", "/objects/" + percentEncode(name), std::move(body));
    co_return toStatus(reply.m_sent, reply.m_status);
}

Task<ObjectResult> PlatformClient::getObject(std::string name)
{
    Reply reply = co_await request(m_objects, "GET", "/objects/" + percentEncode(name), "");
    co_return ObjectResult{toStatus(reply.m_sent, reply.m_status), std::move(reply.m_body)};
}

Task<PlatformClient::Reply> PlatformClient::request(boost::asio::ip::tcp::endpoint endpoint,
                                                    std::string method, std::string target,
                                                    std::string body)
{
    Reply reply;
    HttpConnection connection(m_executor, HeadBytes);
    const auto until = std::chrono::steady_clock::now() + m_settings.m_timeout;
    const boost::system::error_code error = co_await connection.connect(endpoint, until);
    if (error)
        co_return reply;
    reply.m_sent = true;
    HttpRequestHead head;
    head.m_method = std::move(method);
    head.m_target = std::move(target);
    head.m_fields.push_back({"Content-Type", "application/json"});
    head.m_hasBody = !body.empty();
    head.m_bodyBytes = body.size();
    if (!co_await connection.writeHead(head))
        co_return reply;
    if (!body.empty()) {
        const bool written =
                co_await connection.writeBody(body) && co_await connection.finishBody();
        if (!written)
            co_return reply;
    }
    if (!co_await readResponse(connection, reply))
        reply.m_status = 0;
    co_return reply;
}

Task<bool> PlatformClient::readResponse(HttpConnection &connection, Reply &reply)
{
    const std::optional<HttpResponseHead> head = co_await connection.readHead();
    if (!head)
        co_return false;
    reply.m_status = head->m_status;
    std::string part;
    for (;;) {
        const HttpConnection::BodyRead read = co_await connection.readBody(part, ReadChunkBytes);
        if (read == HttpConnection::BodyRead::End)
            co_return true;
        if (read == HttpConnection::BodyRead::Failed
            || reply.m_body.size() + part.size() > m_settings.m_responseBytes)
            co_return false;
        reply.m_body += part;
    }
}

} // namespace chervilmount::adapters
