#include "node/entry/replies.h"
#include "node/support/fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

using namespace chervilmount;

namespace {

adapters::Task<TestResponse> get(Fleet &fleet, std::size_t node, std::string target)
{
    TestRequest request;
    request.m_target = std::move(target);
    const TestResponse response =
            co_await sendRequest(fleet.settings(node).m_operatorAddress, request);
    co_return response;
}

adapters::Task<TestResponse> publish(Fleet &fleet, std::string text, std::uint64_t expected)
{
    TestRequest request;
    request.m_method = "POST";
    request.m_target = "/operators/configuration?expectedVersion=" + std::to_string(expected);
    request.m_body = std::move(text);
    const TestResponse response =
            co_await sendRequest(fleet.settings(0).m_operatorAddress, request);
    co_return response;
}

} // namespace

// Guards against accepting invalid configurations, lost updates and wrongly reported outcomes.
TEST_CASE("Publications are accepted, rejected or in conflict")
{
    Fleet fleet(2);
    fleet.run([&fleet]() -> adapters::Task<> {
        const TestResponse notReady = co_await get(fleet, 1, "/ready");
        CHECK(notReady.m_status == 503);
        const TestResponse invalid = co_await publish(fleet, "{\"routes\": [{}]}", 0);
        CHECK(invalid.m_status == 422);
        const boost::json::value findings = boost::json::parse(invalid.m_body);
        CHECK(findings.at("outcome").as_string() == "invalid");
        CHECK_FALSE(findings.at("findings").as_array().empty());
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        const TestResponse conflict = co_await publish(fleet, sampleConfiguration(), 0);
        CHECK(conflict.m_status == 409);
        CHECK(boost::json::parse(conflict.m_body).at("version").to_number<int>() == 1);
        fleet.platform().m_lostWriteResponses = 1;
        const TestResponse resolved = co_await publish(fleet, sampleConfiguration(), 1);
        CHECK(resolved.m_status == 200);
        CHECK(boost::json::parse(resolved.m_body).at("version").to_number<int>() == 2);
        fleet.platform().m_down = true;
        const TestResponse down = co_await publish(fleet, sampleConfiguration(), 2);
        CHECK(down.m_status == 503);
        CHECK(boost::json::parse(down.m_body).at("outcome").as_string() == "unavailable");
        const TestResponse ready = co_await get(fleet, 1, "/ready");
        CHECK(ready.m_status == 200);
        const TestResponse read = co_await get(fleet, 1, "/operators/configuration");
        CHECK(boost::json::parse(read.m_body).at("version").to_number<int>() >= 1);
    });
}

// Guards against a lease view that does not show which node grants the rates of a failure domain.
TEST_CASE("The holder of each rate lease can be read")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const auto handler = [](adapters::HttpExchange &exchange) -> adapters::Task<> {
            co_await node::sendJson(exchange, 200, "{}");
        };
        FakeBackend backend(fleet.executor(), handler);
        co_await prepareServing(fleet, backend, 0, "slipdesk");
        const TestResponse response = co_await get(fleet, 0, "/operators/leases");
        CHECK(response.m_status == 200);
        const boost::json::value body = boost::json::parse(response.m_body);
        const boost::json::array &leases = body.at("leases").as_array();
        CHECK(leases.size() == sharedstate::RateLeasesPerDomain);
        const std::string own = fleet.settings(0).m_advertisedAddress;
        std::size_t held = 0;
        for (const boost::json::value &lease : leases) {
            if (lease.at("heldHere").as_bool() && lease.at("holder").as_string() == own)
                ++held;
        }
        CHECK(held > 0);
    });
}

// Guards against keyed requests that are served although the configuration is no longer proven to
// be current.
TEST_CASE("Without a fresh proof keyed requests are refused and open ones are served")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const auto handler = [](adapters::HttpExchange &exchange) -> adapters::Task<> {
            co_await node::sendJson(exchange, 200, "{}");
        };
        FakeBackend backend(fleet.executor(), handler);
        // The lease of a rate group is acquired while the store is available.
        co_await prepareServing(fleet, backend, 0, "slipdesk");
        fleet.platform().m_down = true;
        co_await adapters::sleepFor(node::FreshnessBound + std::chrono::milliseconds(200));
        TestRequest keyed;
        keyed.m_target = "/slips";
        keyed.m_fields = {{"Authorization", "Bearer secret-addis"}};
        const TestResponse refused = co_await sendRequest(fleet.settings(0).m_callerAddress, keyed);
        CHECK(refused.m_status == 503);
        CHECK(refused.m_head.field("Chervilmount-Reason") == "configuration-not-proven");
        CHECK(refused.m_head.field("Chervilmount-Outcome") == "not-run");
        TestRequest open;
        open.m_target = "/open";
        const TestResponse served = co_await sendRequest(fleet.settings(0).m_callerAddress, open);
        CHECK(served.m_status == 200);
        fleet.platform().m_down = false;
        const std::function<bool()> isProven = [&fleet] {
            const auto age = fleet.node(0).parts().m_configuration.proofAge(
                    std::chrono::steady_clock::now());
            return age && *age < node::FreshnessBound;
        };
        const bool proven = co_await fleet.waitUntil(isProven);
        CHECK(proven);
        const TestResponse again = co_await sendRequest(fleet.settings(0).m_callerAddress, keyed);
        CHECK(again.m_status == 200);
    });
}

// Guards against withdrawn keys that are still accepted.
TEST_CASE("A withdrawn key stops working")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        boost::json::value set = boost::json::parse(sampleConfiguration());
        set.as_object()["keys"] = boost::json::array();
        const bool withdrawn = co_await fleet.publish(boost::json::serialize(set), 1);
        REQUIRE(withdrawn);
        TestRequest keyed;
        keyed.m_target = "/slips";
        keyed.m_fields = {{"Authorization", "Bearer secret-addis"}};
        const TestResponse refused = co_await sendRequest(fleet.settings(0).m_callerAddress, keyed);
        CHECK(refused.m_status == 401);
    });
}

// Guards against decisions and metrics that are missing from the operators' views.
TEST_CASE("Decisions of a request and metrics can be read")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        const bool published = co_await fleet.publish(sampleConfiguration());
        REQUIRE(published);
        TestRequest open;
        open.m_target = "/open";
        const TestResponse response = co_await sendRequest(fleet.settings(0).m_callerAddress, open);
        const std::string id(response.m_head.field("Chervilmount-Request-Id"));
        const TestResponse view = co_await get(fleet, 0, "/operators/requests/" + id);
        CHECK(view.m_status == 200);
        CHECK(view.m_body.find("no-candidate") != std::string::npos);
        const TestResponse unknown =
                co_await get(fleet, 0, "/operators/requests/" + std::string(32, '0'));
        CHECK(unknown.m_status == 404);
        const TestResponse metrics = co_await get(fleet, 0, "/metrics");
        CHECK(metrics.m_body.find("# TYPE chervilmount_request_seconds histogram\n")
              != std::string::npos);
        CHECK(metrics.m_body.find("chervilmount_request_seconds_bucket{le=\"+Inf\"} 1\n")
              != std::string::npos);
        CHECK(metrics.m_body.find("chervilmount_requests_total{outcome=\"no-candidate\"} 1\n")
              != std::string::npos);
        CHECK(metrics.m_body.find("chervilmount_configuration_version 1\n") != std::string::npos);
        const TestResponse health = co_await get(fleet, 0, "/health");
        CHECK(health.m_status == 200);
        const TestResponse members = co_await get(fleet, 0, "/operators/members");
        CHECK(members.m_body.find(fleet.settings(0).m_advertisedAddress) != std::string::npos);
    });
}
