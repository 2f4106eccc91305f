#include "node/entry/replies.h"
#include "node/support/fleet.h"

#include <catch2/catch.hpp>

using namespace chervilmount;

namespace {

TestRequest printOrder(const std::string &key, const std::string &body)
{
    TestRequest request;
    request.m_method = "POST";
    request.m_target = "/print";
    request.m_fields = {{"Authorization", "Bearer secret-addis"}, {"Idempotency-Key", key}};
    request.m_body = body;
    return request;
}

FakeBackend::Handler printer()
{
    return [](adapters::HttpExchange &exchange) -> adapters::Task<> {
        std::string body;
        co_await exchange.readWholeBody(body);
        const std::string answer = "printed " + body;
        co_await node::sendJson(exchange, 201, answer);
    };
}

} // namespace

// Guards against a once-only request that runs twice when its caller repeats it.
TEST_CASE("A repeated once-only request gets the recorded response and runs once")
{
    Fleet fleet(2);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), printer());
        co_await prepareServing(fleet, backend, 0, "printhall");
        const TestResponse first =
                co_await sendRequest(fleet.settings(0).m_callerAddress, printOrder("order-1", "a"));
        CHECK(first.m_status == 201);
        CHECK(first.m_body == "printed a");
        const std::function<bool()> isRecorded = [&fleet] {
            return fleet.node(0).parts().m_claims.active() == 0;
        };
        const bool recorded = co_await fleet.waitUntil(isRecorded);
        REQUIRE(recorded);
        const TestResponse second =
                co_await sendRequest(fleet.settings(1).m_callerAddress, printOrder("order-1", "a"));
        CHECK(second.m_status == 201);
        CHECK(second.m_body == "printed a");
        const TestResponse other =
                co_await sendRequest(fleet.settings(1).m_callerAddress, printOrder("order-1", "b"));
        CHECK(other.m_status == 422);
        CHECK(backend.m_requests == 1);
    });
}

// Guards against running a request without a confirmed claim.
TEST_CASE("Once-only requests are refused as not run without a key and without the store")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), printer());
        co_await prepareServing(fleet, backend, 0, "printhall");
        TestRequest keyless = printOrder("x", "a");
        keyless.m_fields.pop_back();
        const TestResponse first = co_await sendRequest(fleet.settings(0).m_callerAddress, keyless);
        CHECK(first.m_status == 400);
        CHECK(first.m_head.field("Chervilmount-Outcome") == "not-run");
        fleet.platform().m_down = true;
        const TestResponse second =
                co_await sendRequest(fleet.settings(0).m_callerAddress, printOrder("order-2", "a"));
        CHECK(second.m_status == 503);
        CHECK(second.m_head.field("Chervilmount-Outcome") == "not-run");
        CHECK(backend.m_requests == 0);
    });
}

// Guards against a refusal or a second run when the response to the write of the claim is lost.
TEST_CASE("A claim whose write response is lost is read back and the request runs once")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), printer());
        co_await prepareServing(fleet, backend, 0, "printhall");
        fleet.platform().m_lostWriteResponses = 1;
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, printOrder("order-3", "a"));
        CHECK(response.m_status == 201);
        CHECK(backend.m_requests == 1);
    });
}

// Guards against a repeat that runs although the outcome of the first request is unknown.
TEST_CASE("A repeat after an unknown outcome is not run")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const auto breaking = [](adapters::HttpExchange &exchange) -> adapters::Task<> {
            std::string body;
            co_await exchange.readWholeBody(body);
            exchange.abort();
        };
        FakeBackend backend(fleet.executor(), breaking);
        co_await prepareServing(fleet, backend, 0, "printhall");
        const TestResponse first =
                co_await sendRequest(fleet.settings(0).m_callerAddress, printOrder("order-4", "a"));
        CHECK(first.m_status == 502);
        CHECK(first.m_head.field("Chervilmount-Outcome") == "unknown");
        const TestResponse second =
                co_await sendRequest(fleet.settings(0).m_callerAddress, printOrder("order-4", "a"));
        CHECK(second.m_status == 409);
        CHECK(second.m_head.field("Chervilmount-Outcome") == "unknown");
        CHECK(backend.m_requests == 1);
    });
}
