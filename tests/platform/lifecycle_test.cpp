#include "platform/standin/fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace std::chrono_literals;

namespace {

/** Starts seven nodes, of which some follow the policy in the store for the others. */
void startSeven(Fleet &fleet)
{
    for (int node = 0; node < 7; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.runFor(500ms);
    // The first change ends the long polls that have been pending since the start.
    fleet.configure(2);
    fleet.runFor(600ms);
}

} // namespace

// Guards against work for a backend server after its departure was acknowledged.
TEST_CASE("A backend server that drains gets no new work once that is acknowledged")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    CHECK(fleet.announce(leaving, "draining") == 200);
    const int before = leaving.m_backend->m_arrivals;
    for (int request = 0; request < 10; ++request)
        CHECK(fleet.request(leaving, {}, "a" + std::to_string(request)).m_status == 200);
    CHECK(leaving.m_backend->m_arrivals == before);
}

// Guards against a node that loses the departure of its backend server in a restart.
TEST_CASE("A departure holds after the node was killed")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    REQUIRE(fleet.runUntil([&fleet] {
        return fleet.m_store.value("chervilmount-nodes", "n1").find("i-n1") != std::string::npos;
    }));
    fleet.kill(leaving);
    fleet.restart(leaving);
    REQUIRE(fleet.settle());
    const int before = leaving.m_backend->m_arrivals;
    CHECK(fleet.announce(leaving) == 200);
    for (int request = 0; request < 10; ++request)
        fleet.request(leaving, {}, "a" + std::to_string(request));
    CHECK(leaving.m_backend->m_runs.empty());
    CHECK(leaving.m_backend->m_arrivals == before);
}

// Guards against malformed announcements that replace the backend server.
TEST_CASE("A malformed announcement changes nothing")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &node = *fleet.m_nodes[0];
    CHECK(fleet.tell(node, "PUT", "i-x", "not json") == 400);
    CHECK(fleet.tell(node, "PUT", "i-x", R"({"service":"slipdesk","slots":"many"})") == 400);
    CHECK(fleet.tell(node, "PUT", "i-x",
                     R"({"service":"unknown","address":"127.0.0.1:9","zone":"z","version":"v",
                         "slots":5,"state":"ready","cold_remaining_s":0,"sequence":1,
                         "born":99999999999})")
          == 400);
    CHECK(fleet.tell(node, "PUT", "i-x",
                     R"({"service":"slipdesk","address":"10.9.9.9:9","zone":"z","version":"v",
                         "slots":5,"state":"ready","cold_remaining_s":0,"sequence":1,
                         "born":99999999999})")
          == 400);
    CHECK(fleet.request(node, {}, "a1").m_status == 200);
    CHECK(node.m_backend->runs("a1") == 1);
}

// Guards against a restarted node that gets no work until its backend server announces itself
// again.
TEST_CASE("A restarted node requests the identity of its backend server")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &node = *fleet.m_nodes[0];
    fleet.kill(node);
    fleet.restart(node);
    REQUIRE(fleet.settle());
    CHECK(fleet.runUntil([&] { return fleet.request(node, {}, "again").m_seal == "seal-i-n1"; },
                         1s));
}

// Guards against a graceful shutdown that cuts off a request, and against a node that reports that
// it is ready while it stops.
TEST_CASE("A graceful shutdown drains running requests and reports not ready at once")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &stopping = *fleet.m_nodes[0];
    stopping.m_backend->m_serviceTime = 300ms;
    std::optional<CallerResponse> early;
    const auto earlyConnection = fleet.send(stopping, {}, "early", early);
    REQUIRE(fleet.runUntil([&stopping] { return stopping.m_backend->runs("early") == 1; }));
    stopping.m_node->stop();
    CHECK(fleet.readiness(stopping) == 503);
    CHECK(fleet.request(stopping, {}, "late").m_status == 200);
    CHECK(fleet.runUntil([&early] { return early.has_value(); }));
    CHECK(early->m_status == 200);
    CHECK(fleet.runUntil([&stopping] { return stopping.m_stopped; }, 6s));
    // The other node no longer sends calls to the stopped one and serves its own callers.
    CHECK(fleet.request(*fleet.m_nodes[1], {}, "after").m_status == 200);
}

// Guards against a node that stops serving because the store is unreachable.
TEST_CASE("Nodes continue to serve while the store is unreachable, and follow it afterwards")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.m_store.m_faults.m_status = 503;
    fleet.m_store.compact();
    fleet.runFor(500ms);
    CHECK(fleet.request(*fleet.m_nodes[0], {}, "a1").m_status == 200);
    CHECK(fleet.readiness(*fleet.m_nodes[0]) == 200);
    fleet.m_store.m_faults.m_status = 0;
    fleet.configure(2);
    CHECK(fleet.runUntil([&fleet] {
        return fleet.m_nodes[0]->m_node->policyVersion() == 2
                && fleet.m_nodes[1]->m_node->policyVersion() == 2;
    }));
}

// Guards against a configuration that reaches only the nodes with access to the store.
TEST_CASE("A node that the store refuses gets the configuration from another node")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &cut = *fleet.m_nodes[1];
    fleet.kill(cut);
    // The store refuses the restarted node but not the other one.
    fleet.m_store.m_refusing.insert(cut.m_settings.m_store.m_address);
    fleet.restart(cut);
    CHECK(fleet.runUntil([&cut] { return cut.m_node->policyVersion() == 1; }));
    fleet.configure(5);
    CHECK(fleet.runUntil([&cut] { return cut.m_node->policyVersion() == 5; }, 2s));
    fleet.kill(cut);
}

// Guards against a configuration that takes effect partially, and against a return to an older one.
TEST_CASE("An invalid or older configuration changes nothing")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.configure(
            4, R"(["bad","slips.example","/slips/","sometimes",1.0,1.0,2,null,2,false,"absent"])");
    fleet.runFor(600ms);
    CHECK(fleet.m_nodes[0]->m_node->policyVersion() == 1);
    fleet.configure(6);
    REQUIRE(fleet.runUntil([&fleet] { return fleet.m_nodes[0]->m_node->policyVersion() == 6; }));
    fleet.configure(
            3, R"(["other","other.example","/x/","idempotent",1.0,1.0,2,null,2,false,"slipdesk"])");
    fleet.runFor(600ms);
    CHECK(fleet.m_nodes[0]->m_node->policyVersion() == 6);
    CHECK(fleet.request(*fleet.m_nodes[0], {}, "a1").m_status == 200);
}

// Guards against a withdrawn key or route that still works.
TEST_CASE("A new version is in force at every node within two seconds")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.configure(
            2,
            R"(["order","slips.example","/orders/","idempotent",1.0,1.0,2,null,2,false,"slipdesk"])");
    fleet.runFor(2s);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        CHECK(fleet.request(*node, {}, "a-" + node->m_name).m_status == 404);
}

// Guards against a departure that is lost because the node's row, which is read later, does not
// contain it.
TEST_CASE("A departure that is acknowledged before the row was read is recorded afterwards")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    fleet.kill(leaving);
    fleet.m_store.m_faults.m_status = 503;
    fleet.restart(leaving);
    fleet.runFor(100ms);
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.m_store.m_faults.m_status = 0;
    CHECK(fleet.runUntil([&fleet] {
        return fleet.m_store.value("chervilmount-nodes", "n1").find("i-n1") != std::string::npos;
    }));
}

// Guards against a delayed write that overwrites a departure which was acknowledged after it.
TEST_CASE("A delayed write does not overwrite a later departure")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    const auto isRecorded = [&fleet](const std::string &id) {
        return fleet.m_store.value("chervilmount-nodes", "n1").find(id) != std::string::npos;
    };
    // The store delays the write of the first departure and performs that of the second one.
    fleet.m_store.m_faults.m_holdWrites = true;
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.runFor(100ms);
    fleet.m_store.m_faults.m_holdWrites = false;
    REQUIRE(fleet.runUntil([&isRecorded] { return isRecorded("i-n1"); }));
    const std::string recorded = fleet.m_store.value("chervilmount-nodes", "n1");
    Backend next(fleet.m_context, "i-next", "slipdesk");
    CHECK(fleet.tell(leaving, "PUT", next.id(), next.announcement("ready", 1, 1U << 30U)) == 200);
    CHECK(fleet.tell(leaving, "DELETE", next.id(), "") == 200);
    REQUIRE(fleet.runUntil([&isRecorded] { return isRecorded("i-next"); }));
    fleet.m_store.performHeldWrites();
    CHECK(isRecorded("i-next"));
}

// Guards against a departure that is lost because the outcome of its write is unknown.
TEST_CASE("A departure whose write was performed without an answer is recorded once and kept")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    fleet.m_store.m_faults.m_loseWriteAnswers = true;
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.runFor(100ms);
    fleet.m_store.m_faults.m_loseWriteAnswers = false;
    fleet.runFor(4s);
    const int calls = fleet.m_store.m_calls["/rows-tx"];
    CHECK(fleet.m_store.value("chervilmount-nodes", "n1").find("i-n1") != std::string::npos);
    fleet.runFor(500ms);
    // The node has found that the row was written and does not write it again.
    CHECK(fleet.m_store.m_calls["/rows-tx"] == calls);
}

// Guards against nodes that retry too often after the store's 429.
TEST_CASE("Nodes that the store limits to a few calls a second all get their rows and the policy")
{
    Fleet fleet;
    fleet.m_store.m_faults.m_writesPerSecond = 2;
    fleet.m_store.m_faults.m_readsPerSecond = 4;
    for (const char *name : {"n1", "n2", "n3", "n4"})
        fleet.addNode(name, "slipdesk");
    fleet.configure(1);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.announce(*node);
    CHECK(fleet.runUntil(
            [&fleet] {
                for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes) {
                    if (fleet.m_store.value("chervilmount-nodes", node->m_name).empty()
                        || node->m_node->policyVersion() != 1)
                        return false;
                }
                return true;
            },
            8s));
    CHECK(fleet.m_store.m_limited < 60);
}

// Guards against timeouts of store calls that a slow store always exceeds.
TEST_CASE("Nodes start and follow the policy with a slow store")
{
    Fleet fleet;
    fleet.m_store.m_faults.m_delay = 800ms;
    fleet.addNode("n1", "slipdesk");
    fleet.addNode("n2", "slipdesk");
    fleet.configure(1);
    fleet.announce(*fleet.m_nodes[0]);
    fleet.announce(*fleet.m_nodes[1]);
    CHECK(fleet.runUntil([&fleet] { return fleet.settle(); }, 8s));
    CHECK(fleet.request(*fleet.m_nodes[0], {}, "a1").m_status == 200);
}

// Guards against long polls from every node, and against nodes that miss a version because they
// make none.
TEST_CASE("Nodes that do not follow the policy themselves get new versions from those that do")
{
    Fleet fleet;
    startSeven(fleet);
    const int before = fleet.m_store.m_calls["/rows-feed"];
    fleet.configure(3);
    CHECK(fleet.runUntil(
            [&fleet] {
                for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes) {
                    if (node->m_node->policyVersion() != 3)
                        return false;
                }
                return true;
            },
            1s));
    fleet.runFor(600ms);
    CHECK(fleet.m_store.m_calls["/rows-feed"] - before <= 3);
}

// Guards against a region that receives no new versions after its followers were killed.
TEST_CASE("Followers of the policy that are killed are replaced in time")
{
    Fleet fleet;
    startSeven(fleet);
    // Three of the seven nodes follow, so killing five leaves at most two of them.
    for (int node = 0; node < 5; ++node)
        fleet.kill(*fleet.m_nodes[static_cast<std::size_t>(node)]);
    fleet.configure(3);
    CHECK(fleet.runUntil(
            [&fleet] {
                return fleet.m_nodes[5]->m_node->policyVersion() == 3
                        && fleet.m_nodes[6]->m_node->policyVersion() == 3;
            },
            2s));
}

// Guards against a restarted fleet without links until the store has written the rows of all nodes,
// one at a time.
TEST_CASE("Nodes that are all killed find each other before the store has performed their writes")
{
    Fleet fleet;
    for (int node = 0; node < 6; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.runFor(300ms);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.kill(*node);
    fleet.m_store.m_faults.m_writeTime = 400ms;
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.restart(*node);
    CHECK(fleet.settle(700ms));
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.announce(*node);
    fleet.runFor(200ms);
    // Within its rate and burst, which are shared by nodes that know each other.
    CallerRequest request;
    request.m_key = "key-small";
    CHECK(fleet.request(*fleet.m_nodes[0], request, "a1").m_status == 200);
}

// Guards against nodes that start together on an empty table and do not find each other.
TEST_CASE("Nodes that start together for the first time find each other")
{
    Fleet fleet;
    fleet.m_store.m_faults.m_writeTime = 50ms;
    for (int node = 0; node < 6; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    CHECK(fleet.settle());
}

// Guards against a departure that is lost because the store performs its write only after the next
// process has read the row.
TEST_CASE("A departure that the store records after the node was killed is kept")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    fleet.m_store.m_faults.m_holdWrites = true;
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.runFor(100ms);
    fleet.kill(leaving);
    fleet.m_store.m_faults.m_holdWrites = false;
    fleet.m_store.m_faults.m_writeTime = 300ms;
    fleet.restart(leaving);
    fleet.runFor(100ms);
    fleet.m_store.performHeldWrites();
    fleet.runFor(1500ms);
    CHECK(fleet.m_store.value("chervilmount-nodes", "n1").find("i-n1") != std::string::npos);
    CHECK(fleet.announce(leaving) == 200);
    for (int request = 0; request < 10; ++request)
        fleet.request(leaving, {}, "a" + std::to_string(request));
    CHECK(leaving.m_backend->m_runs.empty());
}

// Guards against a graceful shutdown that loses a departure which was acknowledged just before.
TEST_CASE("A stopping node waits until the departures that it has acknowledged are recorded")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &leaving = *fleet.m_nodes[0];
    fleet.m_store.m_faults.m_status = 503;
    leaving.m_node->stop();
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.runFor(3s);
    CHECK_FALSE(leaving.m_stopped);
    fleet.m_store.m_faults.m_status = 0;
    CHECK(fleet.runUntil([&leaving] { return leaving.m_stopped; }, 4s));
    CHECK(fleet.m_store.value("chervilmount-nodes", "n1").find("i-n1") != std::string::npos);
}

// Guards against nodes that restart at other addresses and connect to each other's old ones
// forever.
TEST_CASE("Nodes that are all restarted at other addresses find each other")
{
    Fleet fleet;
    for (int node = 0; node < 3; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.runFor(300ms);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.kill(*node);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes) {
        node->m_settings.m_relay.m_peerAddress = freeAddress(fleet.m_context);
        fleet.restart(*node);
    }
    CHECK(fleet.settle());
}

// Guards against a node that rejects a whole configuration because one route is of an unknown kind,
// both at its first start and with a later version.
TEST_CASE("A route of an unknown kind does not keep a node from serving the other routes")
{
    constexpr const char *Routes =
            R"(["slip-lookup","slips.example","/slips/","idempotent",1.2,1.0,2,null,2,false,"slipdesk"],
               ["live-view","slips.example","/live/","stream",1.2,1.0,2,null,2,false,"slipdesk"])";
    Fleet fleet;
    FleetNode &node = fleet.addNode("n1", "slipdesk");
    fleet.configure(1, Routes);
    REQUIRE(fleet.runUntil([&node] { return node.m_node->policyVersion() == 1; }));
    fleet.announce(node);
    REQUIRE(fleet.settle());
    CHECK(fleet.request(node, {}, "known").m_status == 200);
    CallerRequest unknown;
    unknown.m_target = "/live/1";
    CHECK(fleet.request(node, unknown, "unknown").m_status == 200);
    node.m_backend->m_faults.m_resets = true;
    CHECK(fleet.request(node, unknown, "lost").m_status == 502);
    CHECK(node.m_backend->runs("lost") == 1);
    node.m_backend->m_faults.m_resets = false;
    fleet.configure(2, Routes);
    CHECK(fleet.runUntil([&node] { return node.m_node->policyVersion() == 2; }));
    CHECK(fleet.request(node, {}, "later").m_status == 200);
}

// Guards against a withdrawn key that is accepted again after a restart.
TEST_CASE("A withdrawn key stays withdrawn at a node that restarts while the store refuses it")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    CallerRequest request;
    request.m_key = "key-large";
    CHECK(fleet.request(*fleet.m_nodes[1], request, "before").m_status == 200);
    std::string document = fleet.m_store.value("op", "config");
    document.replace(document.find("key-large"), 9, "key-other");
    document.replace(document.find("\"r1\""), 4, "\"r2\"");
    fleet.m_store.put("op", "config", document);
    REQUIRE(fleet.runUntil([&fleet] {
        return fleet.m_nodes[0]->m_node->policyVersion() == 2
                && fleet.m_nodes[1]->m_node->policyVersion() == 2;
    }));
    FleetNode &restarted = *fleet.m_nodes[1];
    fleet.kill(restarted);
    fleet.m_store.m_refusing.insert(restarted.m_settings.m_store.m_address);
    fleet.restart(restarted);
    const auto end = std::chrono::steady_clock::now() + 2s;
    std::set<int> statuses;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number)
        statuses.insert(
                fleet.request(restarted, request, "after" + std::to_string(number)).m_status);
    // Until it has a configuration, the node refuses all requests with 503.
    statuses.erase(503);
    CHECK(statuses == std::set<int>{401});
    CHECK(restarted.m_node->policyVersion() == 2);
}

// Guards against a backend server that has crashed without a word and, since nothing runs there,
// looks like the best one to all nodes: each request was first placed there, for 24 seconds.
TEST_CASE("A backend server that refuses connections is not used until it announces itself")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    FleetNode &first = *fleet.m_nodes[0];
    FleetNode &second = *fleet.m_nodes[1];
    first.m_backend->crash();
    for (int request = 0; request < 10; ++request)
        CHECK(fleet.request(first, {}, "a" + std::to_string(request)).m_status == 200);
    CHECK(second.m_backend->m_runs.size() == 10);
    const std::string metrics = first.m_node->metrics();
    // Two failures tell; further requests do not try it.
    CHECK(metrics.find("chervilmount_runs_refused_total 0") != std::string::npos);
    CHECK(fleet.announce(first) == 200);
}
