#include "node/entry/replies.h"
#include "node/support/fleet.h"

#include <catch2/catch.hpp>

using namespace chervilmount;

namespace {

TestRequest keyedRequest(const std::string &target)
{
    TestRequest request;
    request.m_target = target;
    request.m_fields = {{"Authorization", "Bearer secret-addis"}, {"X-Trace", "t1"}};
    return request;
}

FakeBackend::Handler echo()
{
    return [](adapters::HttpExchange &exchange) -> adapters::Task<> {
        std::string body;
        co_await exchange.readWholeBody(body);
        adapters::HttpResponseHead head;
        head.m_status = 200;
        head.m_fields.push_back({"X-Backend", "echo"});
        co_await exchange.respond(
                head, exchange.request().m_method + " " + exchange.request().m_target + " " + body);
    };
}

} // namespace

// Guards against failures anywhere on the path from the caller through the entry node and the node
// of the backend server and back, and against forwarding the caller's key to the backend server.
TEST_CASE("A request travels over two nodes to the backend server and back without its key")
{
    Fleet fleet(2);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), echo());
        const int announced =
                co_await backend.announce(fleet.settings(1).m_localAddress, "slipdesk");
        REQUIRE(announced == 200);
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        const bool serving = co_await fleet.waitUntilServing(0, "slipdesk", 1);
        REQUIRE(serving);
        TestRequest request = keyedRequest("/slips/7?year=2026");
        request.m_method = "POST";
        request.m_body = "hello";
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(response.m_status == 200);
        CHECK(response.m_complete);
        CHECK(response.m_body == "POST /slips/7?year=2026 hello");
        CHECK(response.m_head.field("X-Backend") == "echo");
        CHECK(response.m_head.field("Chervilmount-Request-Id").size() == 32);
        CHECK(backend.m_requests == 1);
        CHECK(backend.m_lastRequest.field("Authorization").empty());
        CHECK(backend.m_lastRequest.field("X-Trace") == "t1");
        CHECK(backend.m_lastRequest.field("Chervilmount-Context").size() == 32);
        CHECK(backend.m_lastRequest.field("Chervilmount-Request-Id")
              == response.m_head.field("Chervilmount-Request-Id"));
        const int remaining =
                std::stoi(std::string(backend.m_lastRequest.field("Chervilmount-Deadline-Ms")));
        CHECK(remaining > 0);
        CHECK(remaining <= 2000);
    });
}

// Guards against requests that run without a valid key, and refusals without the required fields.
TEST_CASE("Requests without route, key or backend server are refused as not run")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const std::string callers = fleet.settings(0).m_callerAddress;
        TestResponse response = co_await sendRequest(callers, keyedRequest("/slips"));
        CHECK(response.m_status == 503);
        CHECK(response.m_head.field("Chervilmount-Reason") == "no-configuration");
        CHECK(response.m_head.field("Chervilmount-Outcome") == "not-run");
        CHECK(response.m_head.field("Retry-After") == "1");
        CHECK(response.m_head.field("Chervilmount-Retry-After-Ms") == "1000");
        CHECK(response.m_head.field("Chervilmount-Request-Id").size() == 32);
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        response = co_await sendRequest(callers, keyedRequest("/slipsx"));
        CHECK(response.m_head.field("Chervilmount-Reason") == "no-route");
        TestRequest wrong = keyedRequest("/slips");
        wrong.m_fields[0].m_value = "Bearer secret-other";
        response = co_await sendRequest(callers, wrong);
        CHECK(response.m_status == 401);
        CHECK(response.m_head.field("Chervilmount-Reason") == "unknown-key");
        response = co_await sendRequest(callers, keyedRequest("/slips"));
        CHECK(response.m_status == 503);
        CHECK(response.m_head.field("Chervilmount-Reason") == "no-candidate");
    });
}

// Guards against a caller that is told "not run" by a backend server which has run its request: the
// field that states it is the node's, and the server has written it as well.
TEST_CASE("A backend server cannot state in the node's place that a request has not run")
{
    Fleet fleet(2);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(),
                            [](adapters::HttpExchange &exchange) -> adapters::Task<> {
                                adapters::HttpResponseHead head;
                                head.m_status = 503;
                                head.m_fields = {{"Chervilmount-Outcome", "not-run"},
                                                 {"chervilmount-retry-after-ms", "100"},
                                                 {"X-Backend", "failed"}};
                                co_await exchange.respond(head, "failed after the run");
                            });
        const int announced =
                co_await backend.announce(fleet.settings(1).m_localAddress, "slipdesk");
        REQUIRE(announced == 200);
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        const bool serving = co_await fleet.waitUntilServing(0, "slipdesk", 1);
        REQUIRE(serving);
        const TestRequest request = keyedRequest("/slips/7");
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(response.m_status == 503);
        CHECK(response.m_head.field("X-Backend") == "failed");
        CHECK(response.m_head.field("Chervilmount-Outcome").empty());
        CHECK(response.m_head.field("Chervilmount-Retry-After-Ms").empty());
        CHECK(response.m_head.field("Chervilmount-Request-Id").size() == 32);
    });
}
