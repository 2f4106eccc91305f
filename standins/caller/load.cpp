#include "standins/caller/load.h"

#include "standins/support/testbody.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <memory>
#include <random>

namespace chervilmount::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ControlTimeout{2000};
constexpr std::chrono::milliseconds CompletionPollPeriod{20};

struct LoadState
{
    const Scenario &m_scenario;
    ConnectionPool &m_pool;
    Records &m_records;
    std::size_t m_inFlight = 0;
    std::uint64_t m_nextRequest = 0;
};

HttpRequest makeRequest(const Flow &flow, const std::string &requestName)
{
    HttpRequest request(http::string_to_verb(flow.m_method),
                        flow.m_path + "?id=" + requestName
                                + "&bytes=" + std::to_string(flow.m_responseBytes),
                        11);
    request.set(http::field::host, flow.m_host);
    if (!flow.m_key.empty())
        request.set(http::field::authorization, "Bearer " + flow.m_key);
    if (flow.m_onceOnly)
        request.set("Idempotency-Key", requestName);
    return request;
}

void recordResponse(Record &record, const HttpResponse &response, const std::string &expectedBody)
{
    record.m_status = response.result_int();
    const boost::beast::string_view reason = response["Chervilmount-Reason"];
    record.m_reason.assign(reason.data(), reason.size());
    if (response.result() == http::status::ok)
        record.m_outcome =
                response.body() == expectedBody ? Outcome::Succeeded : Outcome::WrongResponse;
    else if (response["Chervilmount-Outcome"] == "not-run")
        record.m_outcome = Outcome::NotRun;
}

asio::awaitable<void> sendRequest(LoadState &state, std::size_t flowIndex, std::uint64_t number)
{
    const Flow &flow = state.m_scenario.m_flows[flowIndex];
    const std::string requestName = "r" + std::to_string(number);
    const std::string expectedBody = makeTestBody(requestName, flow.m_responseBytes);
    for (int attempt = 0; attempt <= flow.m_retries; ++attempt) {
        Record record;
        record.m_flow = flowIndex;
        record.m_idempotencyKey = flow.m_onceOnly ? requestName : "";
        record.m_isRetry = attempt > 0;
        record.m_sent = std::chrono::steady_clock::now();
        const std::size_t node =
                static_cast<std::size_t>(number + static_cast<std::uint64_t>(attempt))
                % state.m_scenario.m_nodes.size();
        try {
            const HttpResponse response =
                    co_await sendHttp(state.m_pool, state.m_scenario.m_nodes[node],
                                      makeRequest(flow, requestName), state.m_scenario.m_timeout);
            recordResponse(record, response, expectedBody);
        } catch (const boost::system::system_error &error) {
            record.m_reason = error.code().message();
        }
        record.m_ended = std::chrono::steady_clock::now();
        state.m_records.push_back(record);
        if (record.m_outcome == Outcome::Succeeded)
            break;
    }
    --state.m_inFlight;
}

double demandFactor(const Scenario &scenario, const Flow &flow, std::chrono::milliseconds elapsed)
{
    const bool surge = elapsed >= scenario.m_surgeStart && elapsed < scenario.m_surgeEnd;
    return surge ? flow.m_surgeFactor : 1.0;
}

asio::awaitable<void> runFlow(LoadState &state, std::size_t flowIndex)
{
    const Flow &flow = state.m_scenario.m_flows[flowIndex];
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    std::mt19937_64 random(flowIndex + 1);
    std::exponential_distribution<double> gap(1.0);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point next = start;
    while (next - start < state.m_scenario.m_duration) {
        const std::chrono::milliseconds elapsed =
                std::chrono::duration_cast<std::chrono::milliseconds>(next - start);
        const double rate =
                flow.m_requestsPerSecond * demandFactor(state.m_scenario, flow, elapsed);
        next += std::chrono::microseconds(static_cast<std::int64_t>(1e6 * gap(random) / rate));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        ++state.m_inFlight;
        asio::co_spawn(executor, sendRequest(state, flowIndex, state.m_nextRequest++),
                       asio::detached);
    }
    --state.m_inFlight;
}

} // namespace

asio::awaitable<void> sendLoad(const Scenario &scenario, ConnectionPool &pool, Records &records)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    LoadState state{scenario, pool, records};
    for (std::size_t flow = 0; flow < scenario.m_flows.size(); ++flow) {
        ++state.m_inFlight;
        asio::co_spawn(executor, runFlow(state, flow), asio::detached);
    }
    asio::steady_timer timer(executor);
    while (state.m_inFlight > 0) {
        timer.expires_after(CompletionPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> readExecutions(const Scenario &scenario, ConnectionPool &pool,
                                     ObservedExecutions &executions)
{
    for (const asio::ip::tcp::endpoint &backend : scenario.m_backends) {
        HttpRequest request(http::verb::get, "/standin/executions", 11);
        request.set(http::field::host, "backend");
        try {
            const HttpResponse response =
                    co_await sendHttp(pool, backend, std::move(request), ControlTimeout);
            const json::value body = json::parse(response.body());
            executions.m_keysSeen += body.at("keysSeen").to_number<std::uint64_t>();
            for (const json::key_value_pair &run : body.at("executions").as_object())
                executions.m_runs[std::string(run.key())] += run.value().to_number<int>();
        } catch (const boost::system::system_error &) {
            // A backend server that the test has terminated has no report.
            continue;
        }
    }
}

} // namespace chervilmount::standins
