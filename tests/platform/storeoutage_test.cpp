#include "platform/standin/fleet.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace std::chrono_literals;

namespace {

/** Bounds of the platform: the time after an outage in which a node has to be up to date again, and
 * the time in which a new version has to be in force, with what an unsteady store may add. @{ */
constexpr std::chrono::milliseconds ContactBound{3000};
constexpr std::chrono::milliseconds ApplyBound{2000};
constexpr std::chrono::milliseconds StretchBound{5000};
/** @} */

/** Ends the silence of the store that the case has begun. */
void fallSilent(Fleet &fleet, std::chrono::milliseconds duration)
{
    fleet.m_store.m_faults.m_silent = true;
    fleet.m_store.dropPendingCalls();
    fleet.runFor(duration);
    fleet.m_store.m_faults.m_silent = false;
}

} // namespace

// Guards against a withdrawn key that is accepted for as long as a long poll lasts: the store had
// dropped the long polls of all nodes, and connections that it keeps open do not show that.
TEST_CASE("A version is in force in time after the store has dropped all calls")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.runFor(500ms);
    const std::chrono::milliseconds silence = GENERATE(300ms, 1500ms);
    CAPTURE(silence.count());
    fallSilent(fleet, silence);
    fleet.configure(2);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(2); }, ContactBound));
}

// Guards against the same when the version comes only after the outage.
TEST_CASE("A version that follows an outage of the store is in force in time")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.runFor(500ms);
    fallSilent(fleet, 1000ms);
    fleet.runFor(ContactBound);
    fleet.configure(2);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(2); }, ApplyBound));
}

// Guards against a region that hears of no version because the store answers none of the nodes that
// follow the policy for the others.
TEST_CASE("Followers of the policy that the store does not answer are replaced in time")
{
    Fleet fleet;
    for (int node = 0; node < 7; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.runFor(500ms);
    // The first change ends the long polls that have been pending since the start.
    fleet.configure(2);
    fleet.runFor(3s);
    std::set<std::string> followers;
    // A follower pauses between two long polls.
    fleet.runUntil(
            [&fleet, &followers] {
                for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes) {
                    if (fleet.m_store.hasPendingCalls(node->m_settings.m_store.m_address))
                        followers.insert(node->m_settings.m_store.m_address);
                }
                return false;
            },
            500ms);
    REQUIRE(!followers.empty());
    REQUIRE(followers.size() < fleet.m_nodes.size());
    for (const std::string &address : followers) {
        fleet.m_store.m_silent.insert(address);
        fleet.m_store.dropPendingCalls(address);
    }
    fleet.configure(3);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(3); }, ApplyBound + StretchBound));
}

// Guards against a version that is missed until the next one: the store had forgotten its history,
// and a read that was some seconds behind named the newest version of the store.
TEST_CASE("A version is in force in time although reads are behind after a loss of history")
{
    Fleet fleet;
    REQUIRE(fleet.startTwo());
    fleet.runFor(500ms);
    const std::chrono::milliseconds behind = GENERATE(400ms, 3000ms);
    CAPTURE(behind.count());
    fleet.m_store.forgetHistory(behind);
    fleet.runFor(900ms);
    fleet.configure(2);
    fleet.runFor(100ms + behind);
    CHECK(fleet.runUntil([&fleet] { return fleet.haveVersion(2); }, ContactBound));
}
