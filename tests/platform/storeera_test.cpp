#include "platform/standin/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace std::chrono_literals;

namespace {

/** Bound of the platform in which a new version has to be in force. */
constexpr std::chrono::milliseconds ApplyBound{2000};

bool haveVersion(const Fleet &fleet, std::uint64_t version)
{
    return std::all_of(fleet.m_nodes.begin(), fleet.m_nodes.end(),
                       [version](const std::unique_ptr<FleetNode> &node) {
                           return node->m_node->policyVersion() == version;
                       });
}

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
    CHECK(test.m_fleet.runUntil([&test] { return haveVersion(test.m_fleet, 2); },
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
    CHECK(fleet.runUntil([&fleet] { return haveVersion(fleet, 2); }, ApplyBound));
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
    CHECK(fleet.runUntil([&fleet] { return haveVersion(fleet, 2); }, ApplyBound));
    fleet.runFor(500ms);
    fleet.configure(3);
    CHECK(fleet.runUntil([&fleet] { return haveVersion(fleet, 3); }, ApplyBound));
}

// Guards against a version that was in force and goes back, as the store first shows an older one.
TEST_CASE("A configuration in force stays so while the store shows an older one")
{
    DrillCase test;
    test.m_fleet.configure(5);
    REQUIRE(test.m_fleet.runUntil([&test] { return haveVersion(test.m_fleet, 5); }, ApplyBound));
    test.restoreCopy(60s, true);
    test.m_fleet.configure(4);
    test.m_fleet.runFor(3000ms);
    CHECK(haveVersion(test.m_fleet, 5));
    test.m_fleet.configure(6);
    CHECK(test.m_fleet.runUntil([&test] { return haveVersion(test.m_fleet, 6); }, ApplyBound));
}
