#include "standins/backend/backendserver.h"

#include "standins/support/percentcoding.h"
#include "standins/support/testbody.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace chervilmount::standins {
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds NestedCallTimeout{10000};
constexpr std::chrono::milliseconds LocalTimeout{2000};
constexpr std::chrono::milliseconds AnnouncementPeriod{5000};
constexpr std::chrono::milliseconds AnnouncementRetry{200};
constexpr std::size_t NestedResponseBytes = 200;
constexpr std::size_t DefaultResponseBytes = 1000;
/** Number of waiting requests per slot above which the server sheds load. */
constexpr std::size_t MaximumWaitingPerSlot = 4;

std::string header(const HttpRequest &request, const char *name)
{
    const boost::beast::string_view value = request[name];
    return std::string(value.data(), value.size());
}

std::string targetOf(const HttpRequest &request)
{
    return std::string(request.target().data(), request.target().size());
}

asio::awaitable<void> sleepFor(std::chrono::microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> acquireSlot(BackendServer &server)
{
    if (server.m_running < server.m_behaviour.m_slots) {
        ++server.m_running;
        co_return;
    }
    const std::shared_ptr<asio::steady_timer> turn = std::make_shared<asio::steady_timer>(
            co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    server.m_waiting.push_back(turn);
    boost::system::error_code cancelled;
    co_await turn->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

/** Hands the slot to the request that has waited longest, if any. */
void releaseSlot(BackendServer &server)
{
    if (server.m_waiting.empty()) {
        --server.m_running;
        return;
    }
    server.m_waiting.front()->cancel();
    server.m_waiting.pop_front();
}

/** RAII guard that releases the slot of a request. */
class SlotGuard
{
public:
    explicit SlotGuard(BackendServer &server)
        : m_server(server)
    {
    }
    ~SlotGuard() { releaseSlot(m_server); }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    BackendServer &m_server;
};

HttpResponse refuseAsNotRun(const char *reason)
{
    HttpResponse response = jsonResponse(http::status::service_unavailable, reason);
    response.set("Chervilmount-Not-Run", "true");
    return response;
}

void countKeys(BackendServer &server, const HttpRequest &request)
{
    if (request.find(http::field::authorization) != request.end())
        ++server.m_keysSeen;
}

asio::awaitable<bool> callService(BackendServer &server, std::string service, std::string context,
                                  std::string requestName)
{
    HttpRequest nested(
            http::verb::get,
            "/nested?id=" + requestName + "&bytes=" + std::to_string(NestedResponseBytes), 11);
    nested.set(http::field::host, service);
    nested.set("Chervilmount-Service", service);
    nested.set("Chervilmount-Context", context);
    try {
        const HttpResponse response = co_await sendHttp(server.m_pool, server.m_node,
                                                        std::move(nested), NestedCallTimeout);
        co_return response.result() == http::status::ok &&response.body()
                == makeTestBody(requestName, NestedResponseBytes);
    } catch (const boost::system::system_error &) {
        co_return false;
    }
}

std::chrono::microseconds drawServiceTime(BackendServer &server)
{
    const double mean = static_cast<double>(
            std::chrono::microseconds(server.m_behaviour.m_serviceTime).count());
    // Half of the time is constant, which avoids very short service times.
    std::exponential_distribution<double> variable(1.0);
    return std::chrono::microseconds(
            static_cast<std::int64_t>(mean * (0.5 + 0.5 * variable(server.m_random))));
}

asio::awaitable<HttpResponse> runRequest(BackendServer &server, HttpRequest request)
{
    const std::string idempotencyKey = header(request, "Idempotency-Key");
    if (!idempotencyKey.empty())
        ++server.m_executions[idempotencyKey];
    co_await sleepFor(drawServiceTime(server));

    const std::string target = targetOf(request);
    const std::string requestName = queryParameter(target, "id");
    const std::string context = header(request, "Chervilmount-Context");
    for (const std::string &service : server.m_behaviour.m_calls) {
        const bool succeeded = co_await callService(server, service, context, requestName);
        if (!succeeded)
            co_return jsonResponse(http::status::bad_gateway,
                                   "{\"error\": \"nested call failed\"}");
    }
    const std::string bytes = queryParameter(target, "bytes");
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() =
            makeTestBody(requestName, bytes.empty() ? DefaultResponseBytes : std::stoul(bytes));
    ++server.m_responseCount;
    const std::uint64_t every = server.m_behaviour.m_truncateEveryNth;
    if (every != 0 && server.m_responseCount % every == 0)
        throw std::runtime_error("response dropped on request of the test");
    co_return response;
}

void updateBehaviour(BackendBehaviour &behaviour, const json::value &changes)
{
    for (const json::key_value_pair &field : changes.as_object()) {
        if (field.key() == "serviceTimeMilliseconds")
            behaviour.m_serviceTime =
                    std::chrono::milliseconds(field.value().to_number<std::int64_t>());
        else if (field.key() == "hangs")
            behaviour.m_hangs = field.value().as_bool();
        else if (field.key() == "refuses")
            behaviour.m_refuses = field.value().as_bool();
        else if (field.key() == "truncateEveryNth")
            behaviour.m_truncateEveryNth = field.value().to_number<std::uint64_t>();
    }
}

HttpResponse describeExecutions(const BackendServer &server)
{
    json::object executions;
    for (const std::pair<const std::string, int> &execution : server.m_executions)
        executions[execution.first] = execution.second;
    const json::object body{{"service", server.m_behaviour.m_service},
                            {"requests", server.m_requestCount},
                            {"keysSeen", server.m_keysSeen},
                            {"executions", executions}};
    return jsonResponse(http::status::ok, json::serialize(body));
}

asio::awaitable<bool> postToNode(BackendServer &server, std::string path, std::string body)
{
    HttpRequest request(http::verb::post, path, 11);
    request.set(http::field::host, "node");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    try {
        const HttpResponse response =
                co_await sendHttp(server.m_pool, server.m_node, std::move(request), LocalTimeout);
        co_return response.result() == http::status::ok;
    } catch (const boost::system::system_error &) {
        co_return false;
    }
}

asio::awaitable<HttpResponse> handleControl(BackendServer &server, HttpRequest request)
{
    const std::string target = targetOf(request);
    if (target == "/standin/faults") {
        updateBehaviour(server.m_behaviour, json::parse(request.body()));
        co_return jsonResponse(http::status::ok, "{}");
    }
    if (target == "/standin/executions")
        co_return describeExecutions(server);
    if (target == "/standin/leave") {
        const bool accepted = co_await postToNode(server, "/backend/leave", "{}");
        co_return jsonResponse(accepted ? http::status::ok : http::status::bad_gateway, "{}");
    }
    co_return jsonResponse(http::status::not_found, "{}");
}

} // namespace

asio::awaitable<HttpResponse> handleBackendRequest(BackendServer &server, HttpRequest request)
{
    const std::string target = targetOf(request);
    if (target.compare(0, 9, "/standin/") == 0)
        co_return co_await handleControl(server, std::move(request));

    ++server.m_requestCount;
    countKeys(server, request);
    if (server.m_behaviour.m_refuses)
        co_return refuseAsNotRun("{\"error\": \"refused\"}");
    while (server.m_behaviour.m_hangs)
        co_await sleepFor(std::chrono::milliseconds(100));
    const std::size_t slots = static_cast<std::size_t>(server.m_behaviour.m_slots);
    if (server.m_waiting.size() >= slots * MaximumWaitingPerSlot)
        co_return refuseAsNotRun("{\"error\": \"overloaded\"}");

    const std::chrono::steady_clock::time_point arrival = std::chrono::steady_clock::now();
    co_await acquireSlot(server);
    const SlotGuard guard(server);
    const std::string deadline = header(request, "Chervilmount-Deadline-Ms");
    if (!deadline.empty()
        && std::chrono::steady_clock::now() - arrival
                > std::chrono::milliseconds(std::stoll(deadline)))
        co_return refuseAsNotRun("{\"error\": \"deadline passed\"}");
    co_return co_await runRequest(server, std::move(request));
}

asio::awaitable<void> announceToNode(BackendServer &server)
{
    for (;;) {
        const json::object announcement{
                {"service", server.m_behaviour.m_service},
                {"address", server.m_behaviour.m_address},
                {"slots", server.m_behaviour.m_slots},
                {"connections", server.m_behaviour.m_connections},
                {"load", static_cast<double>(server.m_running) / server.m_behaviour.m_slots}};
        const bool accepted =
                co_await postToNode(server, "/backend/announce", json::serialize(announcement));
        co_await sleepFor(accepted ? AnnouncementPeriod : AnnouncementRetry);
    }
}

} // namespace chervilmount::standins
