#include "platform/standin/fleet.h"
#include "relay/store/noderow.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using chervilmount::relay::NodeTable;

namespace {

/** Bound of the platform in which a new version has to be in force. */
constexpr std::chrono::milliseconds ApplyBound{2000};

/** Two nodes that have followed writes which the store then loses. */
struct DrillCase
{
    Fleet m_fleet;

    DrillCase()
    {
        REQUIRE(m_fleet.startTwo());
        m_fleet.runFor(1000ms);
    }

    /** Writes rows that have nothing to do with the policy. */
    void writeOtherRows(int count)
    {
        for (int row = 0; row < count; ++row)
            m_fleet.m_store.put("other", "row", std::to_string(row));
        // A pending poll ends only with a change of its own table.
        m_fleet.runFor(2500ms);
    }

    void restoreCopy(std::chrono::milliseconds age, bool losesCalls)
    {
        if (losesCalls)
            m_fleet.m_store.dropPendingCalls();
        m_fleet.m_store.restoreCopy(age);
    }
};

} // namespace

// Guards against a configuration that no node takes over until the next one: the store came back
// from a copy and gave a version that the nodes had followed to the next configuration.
TEST_CASE("A configuration whose version of the store was given out before is in force in time")
{
    const bool losesCalls = GENERATE(true, false);
    const int lostWrites = GENERATE(1, 4);
    CAPTURE(losesCalls, lostWrites);
    DrillCase test;
    test.writeOtherRows(lostWrites);
    const std::uint64_t followed = test.m_fleet.m_store.version();
    test.restoreCopy(3000ms, losesCalls);
    for (int row = 1; row < lostWrites; ++row)
        test.m_fleet.m_store.put("other", "row", "again");
    test.m_fleet.configure(2);
    CHECK(test.m_fleet.m_store.version() <= followed);
    // A poll whose connection was lost unnoticed takes its timeout besides.
    const std::chrono::milliseconds lostPoll = losesCalls ? 2250ms : 0ms;
    CHECK(test.m_fleet.runUntil([&test] { return test.m_fleet.haveVersion(2); },
                                ApplyBound + lostPoll));
}

// Guards against the same where the store names no era: its newest version goes back all the same.
TEST_CASE("A configuration is in force in time although a restored store names no era")
{
    Fleet fleet;
    fleet.m_store.m_era = "";
    REQUIRE(fleet.startTwo());
    fleet.runFor(1000ms);
    for (int row = 0; row < 4; ++row)
        fleet.m_store.put("other", "row", std::to_string(row));
    fleet.runFor(2500ms);
    fleet.m_store.m_era = "1";
    fleet.m_store.restoreCopy(3000ms);
    fleet.m_store.m_era = "";
    fleet.configure(2);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(2); }, ApplyBound));
}

// Guards against a node that takes nothing from a store whose era cannot be read or goes back.
TEST_CASE("A node goes on following a store whose era is doubtful")
{
    const std::string era = GENERATE(as<std::string>(), "", "odd", "-1", "1");
    CAPTURE(era);
    Fleet fleet;
    fleet.m_store.m_era = "7";
    REQUIRE(fleet.startTwo());
    fleet.runFor(500ms);
    fleet.m_store.m_era = era;
    fleet.configure(2);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(2); }, ApplyBound));
    fleet.runFor(500ms);
    fleet.configure(3);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(3); }, ApplyBound));
}

// Guards against a version that was in force and goes back, as the store first shows an older one.
TEST_CASE("A configuration in force stays so while the store shows an older one")
{
    DrillCase test;
    test.m_fleet.configure(5);
    REQUIRE(test.m_fleet.runUntil([&test] { return test.m_fleet.haveVersion(5); }, ApplyBound));
    test.restoreCopy(60s, true);
    test.m_fleet.configure(4);
    test.m_fleet.runFor(3000ms);
    CHECK(test.m_fleet.haveVersion(5));
    test.m_fleet.configure(6);
    CHECK(test.m_fleet.runUntil([&test] { return test.m_fleet.haveVersion(6); }, ApplyBound));
}

// Guards against a withdrawn key that is in use again: a node starts while the store shows an older
// configuration than the others have in force.
TEST_CASE("A node that starts after a drill takes the newer configuration of the others")
{
    DrillCase test;
    test.m_fleet.configure(5);
    REQUIRE(test.m_fleet.runUntil([&test] { return test.m_fleet.haveVersion(5); }, ApplyBound));
    test.restoreCopy(60s, false);
    test.m_fleet.configure(4);
    test.m_fleet.addNode("n3", "slipdesk");
    CHECK(test.m_fleet.runUntil([&test] { return test.m_fleet.haveVersion(5); }, 1000ms));
    test.m_fleet.runFor(2000ms);
    CHECK(test.m_fleet.haveVersion(5));
}

// Guards against an acknowledged departure that is forgotten: the store has lost the row with it,
// and all nodes that know of it are killed later.
TEST_CASE("A departure that the store has lost is stored again")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.runFor(1500ms);
    FleetNode &leaving = *fleet.m_nodes[0];
    const std::string late =
            leaving.m_backend->announcement("ready", ++leaving.m_sequence, leaving.m_bornAt);
    CHECK(fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "") == 200);
    fleet.m_store.dropPendingCalls();
    fleet.m_store.restoreCopy(700ms);
    REQUIRE(fleet.m_store.value(NodeTable, "n1").find("i-n1") == std::string::npos);
    // A poll that is lost unnoticed is repeated after its timeout.
    CHECK(fleet.runUntil(
            [&fleet] {
                return fleet.m_store.value(NodeTable, "n1").find("i-n1") != std::string::npos;
            },
            3000ms));
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.kill(*node);
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.restart(*node);
    REQUIRE(fleet.runUntil([&fleet] { return fleet.haveVersion(1); }));
    CHECK(fleet.tell(leaving, "PUT", leaving.m_backend->id(), late) == 200);
    fleet.announce(*fleet.m_nodes[1]);
    const std::size_t before = leaving.m_backend->m_runs.size();
    for (int request = 0; request < 20; ++request)
        fleet.request(leaving, {}, "r" + std::to_string(request));
    CHECK(leaving.m_backend->m_runs.size() == before);
}

// Guards against rows that stay lost at nodes that do not follow the policy, and so do not call the
// store for long; and against calls beyond what the store performs.
TEST_CASE("All nodes of a fleet store their rows again after a drill, with few calls")
{
    Fleet fleet;
    constexpr int Nodes = 16;
    for (int node = 0; node < Nodes; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle(15s));
    fleet.runFor(3s);
    const int writesBefore = fleet.m_store.writeCalls();
    const int readsBefore = fleet.m_store.readCalls();
    // All rows are lost, so each takes two writes and its node reads the table.
    fleet.m_store.restoreCopy(60s);
    REQUIRE_FALSE(fleet.areRowsStored());
    CHECK(fleet.runUntil([&fleet] { return fleet.areRowsStored(); }, 4s));
    fleet.runFor(500ms);
    CHECK(fleet.m_store.writeCalls() - writesBefore <= 2 * Nodes + 3);
    // The followers read the policy besides.
    CHECK(fleet.m_store.readCalls() - readsBefore <= Nodes + 30);
}

// Guards against a starting node that finds no other: the store has lost the row of the only one
// that runs.
TEST_CASE("A node that starts after a drill finds one whose row was lost")
{
    Fleet fleet;
    FleetNode &first = fleet.addNode("n1", "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.runUntil([&first] { return first.m_node->policyVersion() == 1; }));
    fleet.runFor(1500ms);
    fleet.m_store.restoreCopy(60s);
    FleetNode &second = fleet.addNode("n2", "slipdesk");
    CHECK(fleet.runUntil(
            [&first, &second] {
                return first.m_node->linkedPeers() == 1 && second.m_node->linkedPeers() == 1;
            },
            4s));
}

// Guards against a write whose answer was lost in the drill and that is taken for stored.
TEST_CASE("A row whose write was open over a drill is stored")
{
    DrillCase test;
    test.m_fleet.m_store.m_faults.m_loseWriteAnswers = true;
    FleetNode &leaving = *test.m_fleet.m_nodes[0];
    test.m_fleet.tell(leaving, "DELETE", leaving.m_backend->id(), "");
    REQUIRE(test.m_fleet.m_store.value(NodeTable, "n1").find("i-n1") != std::string::npos);
    test.restoreCopy(2000ms, true);
    test.m_fleet.m_store.m_faults.m_loseWriteAnswers = false;
    CHECK(test.m_fleet.runUntil(
            [&test] {
                return test.m_fleet.m_store.value(NodeTable, "n1").find("i-n1")
                        != std::string::npos;
            },
            5s));
}

// Guards against a table that is put together of pages of two eras.
TEST_CASE("A table whose pages are of two eras is read again")
{
    Fleet fleet;
    fleet.addNode("n1", "slipdesk");
    for (int row = 0; row < 3; ++row)
        fleet.m_store.put("table", "row" + std::to_string(row), "value");
    fleet.runFor(200ms);
    fleet.m_store.m_pageEntries = 1;
    fleet.m_store.m_faults.m_delay = 50ms;
    std::optional<bool> succeeded;
    fleet.m_nodes[0]->m_store->read(
            "table", [&succeeded](bool result, const std::vector<chervilmount::relay::StoreRow> &) {
                succeeded = result;
            });
    fleet.runFor(75ms);
    fleet.m_store.restoreCopy(0ms);
    REQUIRE(fleet.runUntil([&succeeded] { return succeeded.has_value(); }));
    CHECK_FALSE(*succeeded);
}
