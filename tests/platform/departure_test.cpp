#include "platform/standin/fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace std::chrono_literals;

namespace {

/** Two nodes, one beside a backend server that leaves while the store is down. */
struct DepartureCase
{
    Fleet m_fleet;
    FleetNode *m_leaving = nullptr;

    DepartureCase()
    {
        REQUIRE(m_fleet.startTwo());
        m_leaving = m_fleet.m_nodes[0].get();
        REQUIRE(serves("before"));
    }

    /** @returns whether the backend server beside the node gets a request of the node's callers. */
    bool serves(const std::string &attempt)
    {
        return m_fleet.runUntil(
                [this, &attempt] {
                    m_fleet.request(*m_leaving, {}, attempt);
                    return m_leaving->m_backend->runs(attempt) > 0;
                },
                2s);
    }

    void endOutage()
    {
        m_fleet.m_store.m_faults = {};
        m_fleet.runFor(2500ms);
    }

    /** Sends requests to both nodes. @returns how many reach the leaving backend server. */
    int runsAtLeavingServer()
    {
        const std::size_t before = m_leaving->m_backend->m_runs.size();
        for (int request = 0; request < 20; ++request) {
            for (const std::unique_ptr<FleetNode> &node : m_fleet.m_nodes)
                m_fleet.request(*node, {}, "r" + std::to_string(request) + node->m_name);
        }
        return static_cast<int>(m_leaving->m_backend->m_runs.size() - before);
    }
};

} // namespace

// Guards against an acknowledged departure that only the process knows which is killed next: an
// announcement that arrived late made the server usable again.
TEST_CASE("A departure that is acknowledged during an outage of the store outlives the node")
{
    DepartureCase test;
    // The store rejects calls, or does not answer them.
    const bool isSilent = GENERATE(false, true);
    CAPTURE(isSilent);
    test.m_fleet.m_store.m_faults.m_status = isSilent ? 0 : 503;
    test.m_fleet.m_store.m_faults.m_silent = isSilent;
    test.m_fleet.m_store.dropPendingCalls();
    const std::string late = test.m_leaving->m_backend->announcement(
            "ready", ++test.m_leaving->m_sequence, test.m_leaving->m_bornAt);
    CHECK(test.m_fleet.tell(*test.m_leaving, "DELETE", test.m_leaving->m_backend->id(), "") == 200);
    test.m_fleet.kill(*test.m_leaving);
    test.m_fleet.restart(*test.m_leaving);
    test.m_fleet.runFor(300ms);
    const bool arrivesInOutage = GENERATE(true, false);
    CAPTURE(arrivesInOutage);
    if (!arrivesInOutage)
        test.endOutage();
    CHECK(test.m_fleet.tell(*test.m_leaving, "PUT", test.m_leaving->m_backend->id(), late) == 200);
    if (arrivesInOutage)
        test.endOutage();
    CHECK(test.runsAtLeavingServer() == 0);
}

// Guards against the same when no node is left that knows of the departure: the backend server
// itself says in its status check that it is leaving.
TEST_CASE("A server that leaves is not used again after all nodes were killed in an outage")
{
    DepartureCase test;
    test.m_fleet.m_store.m_faults.m_status = 503;
    test.m_fleet.m_store.dropPendingCalls();
    const std::string late = test.m_leaving->m_backend->announcement(
            "ready", ++test.m_leaving->m_sequence, test.m_leaving->m_bornAt);
    test.m_leaving->m_backend->m_faults.m_failsStatusChecks = true;
    CHECK(test.m_fleet.tell(*test.m_leaving, "DELETE", test.m_leaving->m_backend->id(), "") == 200);
    for (const std::unique_ptr<FleetNode> &node : test.m_fleet.m_nodes)
        test.m_fleet.kill(*node);
    for (const std::unique_ptr<FleetNode> &node : test.m_fleet.m_nodes)
        test.m_fleet.restart(*node);
    test.endOutage();
    test.m_fleet.announce(*test.m_fleet.m_nodes[1]);
    CHECK(test.m_fleet.tell(*test.m_leaving, "PUT", test.m_leaving->m_backend->id(), late) == 200);
    CHECK(test.runsAtLeavingServer() == 0);
}

// Guards against an acknowledgement that comes before the write: a node that loses power right
// after it has acknowledged a departure starts again without it.
TEST_CASE("A departure is in the store when it is acknowledged")
{
    DepartureCase test;
    test.m_fleet.m_store.m_faults.m_writeTime = 50ms;
    CHECK(test.m_fleet.tell(*test.m_leaving, "DELETE", test.m_leaving->m_backend->id(), "") == 200);
    CHECK(test.m_fleet.m_store.value("chervilmount-nodes", test.m_leaving->m_name).find("i-n1")
          != std::string::npos);
}

// Guards against a departure that is acknowledged and not stored, since the server was not in use:
// the node has just started and hears of it for the first time.
TEST_CASE("A departure of a backend server that is not in use is stored as well")
{
    DepartureCase test;
    test.m_fleet.kill(*test.m_leaving);
    test.m_leaving->m_backend->m_faults.m_failsStatusChecks = true;
    test.m_fleet.restart(*test.m_leaving);
    test.m_fleet.runFor(300ms);
    CHECK(test.m_fleet.announce(*test.m_leaving, "draining") == 200);
    CHECK(test.m_fleet.m_store.value("chervilmount-nodes", test.m_leaving->m_name).find("i-n1")
          != std::string::npos);
}

// Guards against a departure that is acknowledged though nothing keeps it but the process.
TEST_CASE("A departure that neither the store nor another node keeps is not acknowledged")
{
    DepartureCase test;
    test.m_fleet.kill(*test.m_fleet.m_nodes[1]);
    test.m_fleet.m_store.m_faults.m_status = 503;
    test.m_fleet.m_store.dropPendingCalls();
    const std::string &id = test.m_leaving->m_backend->id();
    CHECK(test.m_fleet.tell(*test.m_leaving, "DELETE", id, "") == 503);
    // It has taken effect all the same, and is acknowledged once the store is back.
    CHECK(test.runsAtLeavingServer() == 0);
    test.endOutage();
    CHECK(test.m_fleet.tell(*test.m_leaving, "DELETE", id, "") == 200);
}

// Guards against the opposite fault: a sound backend server that is out of use for long because its
// node was killed while the store is down.
TEST_CASE("A node that starts during an outage of the store uses its sound backend server")
{
    DepartureCase test;
    test.m_fleet.m_store.m_faults.m_status = 503;
    test.m_fleet.m_store.dropPendingCalls();
    test.m_fleet.kill(*test.m_leaving);
    test.m_fleet.restart(*test.m_leaving);
    CHECK(test.serves("again"));
}

// Guards against a sound backend server that stays out of use because its status checks fail.
TEST_CASE("A server that fails its status checks is used once it has announced itself some times")
{
    DepartureCase test;
    test.m_fleet.kill(*test.m_leaving);
    test.m_leaving->m_backend->m_faults.m_failsStatusChecks = true;
    test.m_fleet.restart(*test.m_leaving);
    test.m_fleet.runFor(300ms);
    for (int announcement = 0; announcement < 4; ++announcement)
        CHECK(test.m_fleet.announce(*test.m_leaving) == 200);
    CHECK(test.serves("again"));
}
