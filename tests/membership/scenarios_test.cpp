#include "membershipsimulation/simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace chervilmount;
using namespace chervilmount::membership;
using namespace chervilmount::simulation;

namespace {

/** A small deployment: failure domains with a few nodes each. */
void addDomains(Simulation &network, std::size_t domains, std::size_t nodesPerDomain,
                const std::vector<NodeId> &peers = {})
{
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t node = 0; node < nodesPerDomain; ++node) {
            MembershipSettings settings;
            settings.m_peers = peers;
            network.addNode({"d" + std::to_string(domain),
                             std::to_string(domain) + ".0." + std::to_string(node) + ":7400"},
                            settings);
        }
    }
}

void startAll(Simulation &network)
{
    for (std::size_t node = 0; node < network.nodes().size(); ++node)
        network.start(node, 1000);
}

void runFor(Simulation &network, Milliseconds time)
{
    network.runUntil(network.now() + time);
}

std::optional<MemberState> stateAt(const Simulation &network, std::size_t observer,
                                   std::size_t subject)
{
    return network.nodes()[observer].m_state.m_table.findState(
            keyOf(network.nodes()[subject].m_id));
}

/** Counts the running nodes that see the subject in the given state. */
std::size_t countSeeing(const Simulation &network, std::size_t subject, MemberState state)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < network.nodes().size(); ++node) {
        if (network.nodes()[node].m_running && stateAt(network, node, subject) == state)
            ++count;
    }
    return count;
}

bool allServing(const Simulation &network)
{
    for (std::size_t node = 0; node < network.nodes().size(); ++node) {
        if (countSeeing(network, node, MemberState::Serving) != network.nodes().size())
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("Nodes that all start at once find each other through the seed rows")
{
    Simulation network(1);
    addDomains(network, 4, 4);
    startAll(network);
    runFor(network, Milliseconds(10000));
    CHECK(allServing(network));
}

TEST_CASE("Nodes that all start at once without the store find each other through their settings")
{
    Simulation network(2);
    network.m_storeUp = false;
    addDomains(network, 4, 4, {{"", "0.0.0:7400"}, {"", "1.0.0:7400"}});
    startAll(network);
    runFor(network, Milliseconds(40000));
    CHECK(allServing(network));
}

TEST_CASE("A node that reaches nobody keeps its own record and goes on searching")
{
    Simulation network(3);
    network.m_storeUp = false;
    addDomains(network, 1, 1, {{"", "9.9.9:7400"}});
    startAll(network);
    runFor(network, Milliseconds(120000));
    CHECK_FALSE(hasJoined(network.nodes()[0].m_state));
    CHECK(stateAt(network, 0, 0) == MemberState::Serving);
    CHECK(network.m_storeReads >= 5);
    CHECK(network.m_storeReads <= 20);
}

TEST_CASE("A leaving node is known as leaving everywhere within 3 s and as left after its end")
{
    Simulation network(4);
    addDomains(network, 4, 4);
    startAll(network);
    runFor(network, Milliseconds(10000));
    network.apply(5, LeaveStarted{});
    runFor(network, Milliseconds(3000));
    CHECK(countSeeing(network, 5, MemberState::Leaving) == 16);
    network.apply(5, LeaveFinished{});
    network.crash(5);
    runFor(network, Milliseconds(3000));
    CHECK(countSeeing(network, 5, MemberState::Left) == 15);
}

TEST_CASE("A crashed node is failed everywhere, and its record expires")
{
    Simulation network(5);
    addDomains(network, 2, 4);
    startAll(network);
    runFor(network, Milliseconds(10000));
    network.crash(1);
    runFor(network, Milliseconds(8000));
    CHECK(countSeeing(network, 1, MemberState::Failed) == 7);
    runFor(network, Milliseconds(620000));
    CHECK(stateAt(network, 0, 1) == std::nullopt);
}

TEST_CASE("A new process at a used address replaces the old one, even if its clock is behind")
{
    Simulation network(6);
    addDomains(network, 2, 4);
    startAll(network);
    runFor(network, Milliseconds(10000));
    network.crash(1);
    runFor(network, Milliseconds(1000));
    network.start(1, 500);
    runFor(network, Milliseconds(10000));
    CHECK(allServing(network));
    CHECK(network.nodes()[1].m_state.m_self.m_incarnation == 1001);
}

TEST_CASE("A failure domain that is cut off is masked as one event and comes back after minutes")
{
    Simulation network(7);
    addDomains(network, 4, 4);
    startAll(network);
    runFor(network, Milliseconds(10000));
    for (std::size_t node = 0; node < 4; ++node)
        network.nodes()[node].m_group = 1;
    runFor(network, Milliseconds(8000));
    CHECK_FALSE(isReachable(network.nodes()[15].m_state, "d0"));
    CHECK_FALSE(isReachable(network.nodes()[0].m_state, "d3"));
    CHECK(isReachable(network.nodes()[15].m_state, "d1"));
    runFor(network, Milliseconds(900000));
    CHECK(allServing(network));
    network.heal();
    runFor(network, Milliseconds(8000));
    for (const SimulatedNode &node : network.nodes()) {
        for (const std::string domain : {"d0", "d1", "d2", "d3"})
            CHECK(isReachable(node.m_state, domain));
    }
}

TEST_CASE("Two halves of a failure domain find each other again after minutes")
{
    Simulation network(8);
    addDomains(network, 1, 8);
    startAll(network);
    runFor(network, Milliseconds(10000));
    for (std::size_t node = 0; node < 4; ++node)
        network.nodes()[node].m_group = 1;
    runFor(network, Milliseconds(300000));
    CHECK(countSeeing(network, 0, MemberState::Failed) == 4);
    network.heal();
    runFor(network, Milliseconds(20000));
    CHECK(allServing(network));
}
