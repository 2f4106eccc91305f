#include "platform/standin/fleet.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

/** Two nodes with backend servers of the callers' service. */
struct TwoNodes
{
    TwoNodes()
    {
        m_fleet.configure(1);
        REQUIRE(m_fleet.runUntil([this] {
            return m_first.m_node->policyVersion() == 1 && m_second.m_node->policyVersion() == 1;
        }));
        REQUIRE(m_fleet.announce(m_first) == 200);
        REQUIRE(m_fleet.announce(m_second) == 200);
        REQUIRE(m_fleet.settle());
    }

    int runs(const std::string &attempt) const
    {
        return m_first.m_backend->runs(attempt) + m_second.m_backend->runs(attempt);
    }

    Fleet m_fleet;
    FleetNode &m_first = m_fleet.addNode("n1", "slipdesk");
    FleetNode &m_second = m_fleet.addNode("n2", "slipdesk", "zone-b");
};

} // namespace

// Guards against a node that answers 401, 403 or 404 before it knows a configuration.
TEST_CASE("Without a configuration a node refuses as not run and is not ready")
{
    Fleet fleet;
    FleetNode &node = fleet.addNode("n1", "slipdesk");
    fleet.runFor(300ms);
    const CallerResponse response = fleet.request(node, {}, "a1");
    CHECK(response.m_status == 503);
    CHECK_FALSE(response.m_retryAfter.empty());
    CHECK(fleet.readiness(node) == 503);
    fleet.configure(1);
    REQUIRE(fleet.runUntil([&node] { return node.m_node->isReady(); }));
    CHECK(fleet.readiness(node) == 200);
}

// Guards against responses that do not come from the backend server, and against forwarded header
// fields that callers must not set.
TEST_CASE("A request runs once and its response is passed on unchanged")
{
    TwoNodes nodes;
    const CallerResponse response = nodes.m_fleet.request(nodes.m_first, {}, "a1");
    CHECK(response.m_status == 200);
    CHECK(response.m_body == "body of a1");
    CHECK(response.m_attempt == "a1");
    CHECK(response.m_seal == "seal-i-n1");
    REQUIRE(nodes.m_first.m_backend->m_runs.size() == 1);
    const chervilmount::relay::HttpRequest &run = nodes.m_first.m_backend->m_runs[0].m_request;
    CHECK(run["X-Chervilmount-Tenant"] == "large");
    CHECK(run["X-Chervilmount-Caller-Service"] == "slipdesk");
    CHECK(run["X-Chervilmount-Expected-Instance"] == "i-n1");
    CHECK(run.count("X-Chervilmount-Key") == 0);
    CHECK(run["Host"] == "slips.example");
    const int deadline = std::stoi(std::string(run["X-Chervilmount-Deadline-Ms"]));
    CHECK(deadline <= 1200);
    CHECK(deadline >= 1000);
}

// Guards against requests that are refused at a node without a backend server of the service.
TEST_CASE("A request reaches a backend server beside another node")
{
    Fleet fleet;
    FleetNode &entry = fleet.addNode("n1", "printhall");
    FleetNode &server = fleet.addNode("n2", "slipdesk", "zone-b", "region-b");
    fleet.configure(1);
    REQUIRE(fleet.runUntil([&server] { return server.m_node->policyVersion() == 1; }));
    fleet.announce(server);
    REQUIRE(fleet.settle());
    CallerRequest request;
    request.m_method = "POST";
    request.m_target = "/orders/7?copies=1";
    request.m_body = "an order";
    REQUIRE(fleet.runUntil([&] { return fleet.request(entry, request, "a1").m_status == 200; }));
    const chervilmount::relay::HttpRequest &run = server.m_backend->m_runs.at(0).m_request;
    CHECK(run.target() == "/orders/7?copies=1");
    CHECK(run.method_string() == "POST");
    CHECK(run.body() == "an order");
    CHECK(run["X-Chervilmount-Caller-Service"] == "printhall");
}

// Guards against requests that run for callers without a key, or on routes that do not exist.
TEST_CASE("Unknown keys and routes are refused before anything runs")
{
    TwoNodes nodes;
    CallerRequest unknownKey;
    unknownKey.m_key = "key-absent";
    CHECK(nodes.m_fleet.request(nodes.m_first, unknownKey, "a1").m_status == 401);
    CallerRequest unknownRoute;
    unknownRoute.m_target = "/slips";
    CHECK(nodes.m_fleet.request(nodes.m_first, unknownRoute, "a2").m_status == 404);
    CHECK(nodes.runs("a1") + nodes.runs("a2") == 0);
}

// Guards against a second run of a once-only request whose response was lost or invalid.
TEST_CASE("A once-only request is sent once even if its response is lost or invalid")
{
    TwoNodes nodes;
    CallerRequest order;
    order.m_method = "POST";
    order.m_target = "/orders/1";
    const auto setFaults = [&nodes](const BackendFaults &faults) {
        nodes.m_first.m_backend->m_faults = faults;
        nodes.m_second.m_backend->m_faults = faults;
    };
    BackendFaults unsealed;
    unsealed.m_unsealed = true;
    setFaults(unsealed);
    CHECK(nodes.m_fleet.request(nodes.m_first, order, "a1").m_status == 502);
    CHECK(nodes.runs("a1") == 1);
    BackendFaults wrong;
    wrong.m_wrongAttempt = true;
    setFaults(wrong);
    const CallerResponse crossed = nodes.m_fleet.request(nodes.m_first, order, "a2");
    CHECK(crossed.m_status >= 502);
    CHECK(crossed.m_body.find("body of") == std::string::npos);
    CHECK(nodes.runs("a2") == 1);
    BackendFaults lost;
    lost.m_losesAnswers = true;
    setFaults(lost);
    CHECK(nodes.m_fleet.request(nodes.m_first, order, "a3").m_status == 504);
    CHECK(nodes.runs("a3") == 1);
}

// Guards against an idempotent request that fails because one backend server sends invalid
// responses.
TEST_CASE("An idempotent request is sent to another backend server after an invalid response")
{
    TwoNodes nodes;
    nodes.m_first.m_backend->m_faults.m_unsealed = true;
    const CallerResponse response = nodes.m_fleet.request(nodes.m_first, {}, "a1");
    CHECK(response.m_status == 200);
    CHECK(response.m_seal == "seal-i-n2");
    CHECK(nodes.runs("a1") == 2);
}

// Guards against a refusal that says "not run" for a request that has run, and against more backend
// servers than the route allows.
TEST_CASE("A refusal of all backend servers is returned as not run, with a Retry-After")
{
    TwoNodes nodes;
    nodes.m_first.m_backend->m_faults.m_refuses = true;
    nodes.m_second.m_backend->m_faults.m_refuses = true;
    const CallerResponse response = nodes.m_fleet.request(nodes.m_first, {}, "a1");
    CHECK(response.m_status == 503);
    CHECK_FALSE(response.m_retryAfter.empty());
    CHECK(nodes.m_first.m_backend->m_arrivals + nodes.m_second.m_backend->m_arrivals <= 2);
    CHECK(nodes.runs("a1") == 0);
}

// Guards against runs that continue after their caller has disconnected.
TEST_CASE("A caller that disconnects frees the slot")
{
    TwoNodes nodes;
    nodes.m_first.m_backend->m_serviceTime = 800ms;
    nodes.m_second.m_backend->m_serviceTime = 800ms;
    std::optional<CallerResponse> response;
    const auto connection = nodes.m_fleet.send(nodes.m_first, {}, "a1", response);
    REQUIRE(nodes.m_fleet.runUntil([&nodes] { return nodes.runs("a1") == 1; }));
    connection->close();
    CHECK(nodes.m_fleet.runUntil(
            [&nodes] {
                return nodes.m_first.m_backend->m_abandoned + nodes.m_second.m_backend->m_abandoned
                        == 1;
            },
            400ms));
}

// Guards against a request that is kept waiting beyond its route's timeout.
TEST_CASE("A request is answered at its route's timeout")
{
    TwoNodes nodes;
    nodes.m_first.m_backend->m_faults.m_losesAnswers = true;
    nodes.m_second.m_backend->m_faults.m_losesAnswers = true;
    const auto start = std::chrono::steady_clock::now();
    CHECK(nodes.m_fleet.request(nodes.m_first, {}, "a1").m_status == 504);
    const auto took = std::chrono::steady_clock::now() - start;
    CHECK(took >= 1200ms);
    CHECK(took <= 1600ms);
}

// Guards against an organisation that exceeds its rate, and against refusals of others because of
// it.
TEST_CASE("An organisation beyond its allotment is refused with 429, others are served")
{
    TwoNodes nodes;
    CallerRequest small;
    small.m_key = "key-small";
    int served = 0;
    int refused = 0;
    for (int request = 0; request < 60; ++request) {
        const int status = nodes.m_fleet
                                   .request(request % 2 == 0 ? nodes.m_first : nodes.m_second,
                                            small, "s" + std::to_string(request))
                                   .m_status;
        served += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
    }
    CHECK(served + refused == 60);
    CHECK(refused > 0);
    CHECK(nodes.m_fleet.request(nodes.m_first, {}, "a1").m_status == 200);
}

// Guards against nested calls that are refused because they carry no key.
TEST_CASE("A backend server's nested calls are served through its own node")
{
    Fleet fleet;
    FleetNode &first = fleet.addNode("n1", "slipdesk");
    FleetNode &second = fleet.addNode("n2", "printhall");
    fleet.configure(1);
    REQUIRE(fleet.runUntil([&] {
        return first.m_node->policyVersion() == 1 && second.m_node->policyVersion() == 1;
    }));
    fleet.announce(first);
    fleet.announce(second);
    REQUIRE(fleet.settle());
    first.m_backend->m_nestedCalls = {
            {first.m_settings.m_relay.m_callerAddress, "status.example", "/status/1"},
            {first.m_settings.m_relay.m_callerAddress, "status.example", "/status/2"}};
    REQUIRE(fleet.runUntil([&] { return fleet.request(first, {}, "a1").m_status == 200; }));
    REQUIRE(second.m_backend->m_runs.size() >= 2);
    const chervilmount::relay::HttpRequest &run = second.m_backend->m_runs[0].m_request;
    CHECK(run["X-Chervilmount-Caller-Service"] == "slipdesk");
    CHECK(run.count("X-Chervilmount-Tenant") == 0);
}

// Guards against callers that are refused although another backend server has capacity, because
// outlier detection did not count the failures of the entry node's local backend server.
TEST_CASE("A node ejects its local backend server after repeated failures")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &failing = *fleet.m_nodes[0];
    failing.m_backend->m_faults.m_refuses = true;
    int served = 0;
    for (int request = 0; request < 30; ++request) {
        const std::string attempt = "a" + std::to_string(request);
        served += fleet.request(failing, {}, attempt).m_status == 200 ? 1 : 0;
    }
    // Five failures in a row eject a backend server for a second.
    CHECK(served >= 20);
    CHECK(failing.m_backend->m_arrivals <= 10);
}
