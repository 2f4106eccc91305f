#include "platform/standin/backend.h"

#include "platform/standin/rowstore.h"
#include "relay/http/socketoptions.h"

#include <algorithm>

using namespace chervilmount::relay;
namespace http = boost::beast::http;

Backend::Backend(boost::asio::io_context &context, std::string id, std::string service)
    : m_context(context)
    , m_timers(context)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(freeAddress(context))
    , m_server(context, m_address, m_limits, [this](const Exchange &exchange, HttpRequest request) {
        handle(exchange, std::move(request));
    })
{
}

Backend::~Backend()
{
    for (const std::shared_ptr<HttpClientConnection> &connection : m_connections)
        connection->close();
}

std::string Backend::announcement(const std::string &state, int sequence, std::int64_t born) const
{
    return R"({"service":")" + m_service + R"(","address":")" + m_address
            + R"(","zone":"z","version":"v1","slots":)" + std::to_string(m_slots) + R"(,"state":")"
            + state + R"(","cold_remaining_s":0,"sequence":)" + std::to_string(sequence)
            + R"(,"born":)" + std::to_string(born) + "}";
}

int Backend::runs(const std::string &attempt) const
{
    return static_cast<int>(
            std::count_if(m_runs.begin(), m_runs.end(),
                          [&attempt](const BackendRun &run) { return run.m_attempt == attempt; }));
}

void Backend::handle(const Exchange &exchange, HttpRequest request)
{
    const std::string attempt(request["X-Chervilmount-Attempt-Id"]);
    if (request.target() == "/health") {
        HttpResponse response = makeResponse(m_faults.m_failsStatusChecks ? 503 : 200, "");
        response.set("X-Chervilmount-Instance-Id", m_id);
        response.set("X-Chervilmount-Server-Load", "0,0," + std::to_string(m_slots));
        exchange->respond(std::move(response), false);
        return;
    }
    ++m_arrivals;
    m_arrivalTimes.push_back(std::chrono::steady_clock::now());
    if (m_faults.m_refuses || request["X-Chervilmount-Expected-Instance"] != m_id) {
        HttpResponse response = makeResponse(m_faults.m_refuses ? 503 : 421, "");
        response.set("X-Chervilmount-Not-Executed", "1");
        response.set("X-Chervilmount-Attempt-Id", attempt);
        exchange->respond(std::move(response), false);
        return;
    }
    const auto deadline = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(
                                  parseNumber(fieldValue(request, "X-Chervilmount-Deadline-Ms")));
    m_runs.push_back({attempt, std::move(request)});
    ++m_running;
    m_largestRunning = std::max(m_largestRunning, m_running);
    exchange->m_onAbandoned = [this] { ++m_abandoned; };
    const auto end = std::chrono::steady_clock::now() + m_serviceTime;
    if (!m_faults.m_ignoresDeadline && deadline < end) {
        m_timers.add(deadline, [this, exchange, attempt] { answer(exchange, attempt, 504); });
        return;
    }
    m_timers.add(end, [this, exchange, attempt, deadline] {
        callNested(exchange, attempt, 0, deadline);
    });
}

void Backend::callNested(const Exchange &exchange, const std::string &attempt, std::size_t next,
                         std::chrono::steady_clock::time_point deadline)
{
    if (next == m_nestedCalls.size()) {
        answer(exchange, attempt, 200);
        return;
    }
    const NestedCall &call = m_nestedCalls[next];
    HttpRequest request;
    request.version(11);
    request.method(http::verb::get);
    request.target(call.m_target);
    request.set(http::field::host, call.m_host);
    request.set("X-Chervilmount-Attempt-Id", "nested-" + m_id + std::to_string(++m_lastNested));
    const auto left = std::chrono::floor<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    request.set("X-Chervilmount-Deadline-Ms", std::to_string(left.count()));
    auto connection = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
    m_connections.push_back(connection);
    connection->connect(parseEndpoint(call.m_address), [=, this](bool connected) mutable {
        if (!connected) {
            answer(exchange, attempt, 500);
            return;
        }
        connection->exchange(std::move(request), {}, [=, this](const ExchangeResult &result) {
            const bool succeeded = result.m_status == ExchangeStatus::Answered
                    && result.m_response.result() == http::status::ok;
            connection->close();
            if (succeeded)
                callNested(exchange, attempt, next + 1, deadline);
            else
                answer(exchange, attempt, 500);
        });
    });
}

void Backend::answer(const Exchange &exchange, const std::string &attempt, int status)
{
    --m_running;
    if (m_faults.m_losesAnswers)
        return;
    if (m_faults.m_resets) {
        // A response without the seal, on a connection that is then closed.
        HttpResponse response = makeResponse(200, "cut");
        response.set("X-Chervilmount-Attempt-Id", attempt);
        exchange->respond(std::move(response), true);
        return;
    }
    HttpResponse response =
            makeResponse(status, "body of " + attempt + std::string(m_additionalBytes, '.'));
    response.set("X-Chervilmount-Attempt-Id", m_faults.m_wrongAttempt ? "other" : attempt);
    if (!m_faults.m_unsealed)
        response.set("X-Chervilmount-Server-Seal", "seal-" + m_id);
    response.set("X-Chervilmount-Server-Load", "0,0," + std::to_string(m_slots));
    if (m_faults.m_leaves)
        response.set("Server-Leaving", "1");
    if (!m_faults.m_requestLimit.empty())
        response.set("Server-Limit", m_faults.m_requestLimit);
    exchange->respond(std::move(response), false);
}
