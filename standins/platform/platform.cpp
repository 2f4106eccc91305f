#include "standins/platform/platform.h"

#include "standins/support/percentcoding.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace chervilmount::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view RowPath = "/table/rows/";
constexpr std::string_view ObjectPath = "/objects/";

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

HttpResponse readRow(const Platform &platform, std::string_view target)
{
    const std::string name = percentDecode(target.substr(RowPath.size()));
    const std::map<std::string, Row>::const_iterator row = platform.m_table.m_rows.find(name);
    if (row == platform.m_table.m_rows.end())
        return jsonResponse(http::status::not_found, "{}");
    const json::object body{{"revision", row->second.m_revision}, {"value", row->second.m_value}};
    return jsonResponse(http::status::ok, json::serialize(body));
}

HttpResponse readObject(const Platform &platform, std::string_view target)
{
    const std::string name = percentDecode(target.substr(ObjectPath.size()));
    const std::map<std::string, std::string>::const_iterator object = platform.m_objects.find(name);
    if (object == platform.m_objects.end())
        return jsonResponse(http::status::not_found, "{}");
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = object->second;
    return response;
}

HttpResponse serveRead(const Platform &platform, std::string_view target)
{
    if (startsWith(target, RowPath))
        return readRow(platform, target);
    if (startsWith(target, "/table/rows?")) {
        const std::string prefix = queryParameter(target, "prefix");
        return jsonResponse(http::status::ok, json::serialize(listRows(platform.m_table, prefix)));
    }
    if (startsWith(target, ObjectPath))
        return readObject(platform, target);
    return jsonResponse(http::status::not_found, "{}");
}

HttpResponse serveWrite(Platform &platform, const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (startsWith(target, ObjectPath)) {
        platform.m_objects[percentDecode(target.substr(ObjectPath.size()))] = request.body();
        return jsonResponse(http::status::ok, "{}");
    }
    if (target != "/table/transaction")
        return jsonResponse(http::status::not_found, "{}");
    const json::object result = applyTransaction(platform.m_table, json::parse(request.body()));
    return jsonResponse(http::status::ok, json::serialize(result));
}

HttpResponse serveControl(Platform &platform, const HttpRequest &request)
{
    if (request.method() == http::verb::post) {
        updateFaults(platform.m_faults, json::parse(request.body()));
        return jsonResponse(http::status::ok, "{}");
    }
    const json::object counts{{"reads", platform.m_readCount},
                              {"writes", platform.m_writeCount},
                              {"rejected", platform.m_rejectedCount},
                              {"rows", platform.m_table.m_rows.size()},
                              {"objects", platform.m_objects.size()}};
    return jsonResponse(http::status::ok, json::serialize(counts));
}

HttpResponse servePlatform(Platform &platform, const HttpRequest &request)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const bool isRead = request.method() == http::verb::get;
    const bool withinLimit = isRead
            ? takeFromLimit(platform.m_reads, platform.m_faults.m_readsPerSecond, now)
            : takeFromLimit(platform.m_writes, platform.m_faults.m_writesPerSecond, now);
    if (!withinLimit) {
        ++platform.m_rejectedCount;
        return jsonResponse(http::status::too_many_requests, "{}");
    }
    if (isRead) {
        ++platform.m_readCount;
        return serveRead(platform, {request.target().data(), request.target().size()});
    }
    ++platform.m_writeCount;
    HttpResponse response = serveWrite(platform, request);
    const std::uint64_t every = platform.m_faults.m_loseEveryNthWriteResponse;
    if (every != 0 && platform.m_writeCount % every == 0)
        throw std::runtime_error("response dropped on request of the test");
    return response;
}

} // namespace

asio::awaitable<HttpResponse> handlePlatformRequest(Platform &platform, HttpRequest request)
{
    if (startsWith({request.target().data(), request.target().size()}, "/standin/"))
        co_return serveControl(platform, request);
    if (platform.m_faults.m_down)
        co_return jsonResponse(http::status::service_unavailable, "{}");
    if (platform.m_faults.m_delay.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(platform.m_faults.m_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    try {
        co_return servePlatform(platform, request);
    } catch (const boost::system::system_error &error) {
        co_return jsonResponse(http::status::bad_request,
                               json::serialize(json::string(error.what())));
    } catch (const std::invalid_argument &error) {
        co_return jsonResponse(http::status::bad_request,
                               json::serialize(json::string(error.what())));
    } catch (const std::out_of_range &error) {
        co_return jsonResponse(http::status::bad_request,
                               json::serialize(json::string(error.what())));
    }
}

} // namespace chervilmount::standins
