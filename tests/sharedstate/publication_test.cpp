#include "sharedstate/publicationfleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace chervilmount::sharedstate;
using namespace chervilmount::simulation;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t FirstSeed = 4000000;

Schedule scheduleWith(const PublicationFaults &faults, const LeaseFaults &leaseFaults = {})
{
    return [faults, leaseFaults](std::uint64_t seed, bool traced) {
        return runPublicationSchedule(seed, traced, faults, leaseFaults);
    };
}

} // namespace

// Guards against two accepted publications of one version, lost or reverted publications, and
// withdrawn keys that still work.
TEST_CASE("Accepted configurations are in force in 3 s and never revert, part 1 of 2")
{
    checkSchedules("configuration", FirstSeed, 0, 2, scheduleWith({}));
}

TEST_CASE("Accepted configurations are in force in 3 s and never revert, part 2 of 2")
{
    checkSchedules("configuration", FirstSeed, 1, 2, scheduleWith({}));
}

// Verifies that the checker detects each injected fault.
TEST_CASE("The configuration checker finds each broken rule")
{
    PublicationFaults proof;
    proof.m_serveWithoutProof = true;
    checkViolationFound("keyed routes without a freshness proof", FirstSeed, 10000,
                        scheduleWith(proof));
    PublicationFaults transit;
    transit.m_ignoreTransit = true;
    checkViolationFound("transit time not counted", FirstSeed, 10000, scheduleWith(transit));
    PublicationFaults write;
    write.m_unconditionalWrite = true;
    checkViolationFound("row written without its revision", FirstSeed, 10000, scheduleWith(write));
    PublicationFaults conflict;
    conflict.m_treatUnknownAsConflict = true;
    checkViolationFound("unknown write reported as a conflict", FirstSeed, 10000,
                        scheduleWith(conflict));
}

// Guards against a withdrawn key that still works in a failure domain that is fully isolated.
TEST_CASE("A withdrawn key stops within 3 s in a failure domain that is cut off")
{
    PublicationFleet fleet(1, false, {});
    fleet.world().run(seconds(8));
    bool accepted = false;
    fleet.publish(1, [&accepted](PublishOutcome outcome) {
        accepted = outcome == PublishOutcome::Accepted;
    });
    fleet.world().run(seconds(10));
    REQUIRE(accepted);
    for (int node = 0; node < fleet.nodeCount(); ++node) {
        CHECK(fleet.serves(node, 2));
        CHECK_FALSE(fleet.serves(node, 1));
    }
    const int cutOff = 1 - fleet.lease().holder() % 2;
    fleet.store().setCut(cutOff, true);
    fleet.world().setCut(0, 1, true);
    fleet.publish(2, {});
    fleet.world().run(fleet.world().now() + milliseconds(3000));
    for (int node = 0; node < fleet.nodeCount(); ++node) {
        CHECK_FALSE(fleet.serves(node, 2));
        // The failure domain of the holder still serves other keys.
        CHECK(fleet.serves(node, 3) == (node % 2 != cutOff));
    }
}

// Guards against keyed routes that stop, and a new node that loads an old version, in a store
// outage.
TEST_CASE("In a store outage proofs continue and a node that starts without a copy catches up")
{
    PublicationFleet fleet(2, false, {});
    fleet.world().run(seconds(8));
    fleet.publish(1, {});
    fleet.world().run(seconds(12));
    REQUIRE(fleet.version(5) == 1);
    fleet.store().quality().m_up = false;
    fleet.world().crash(5);
    fleet.world().run(seconds(15));
    fleet.world().restart(5);
    fleet.start(5);
    CHECK_FALSE(fleet.fresh(5));
    fleet.world().run(seconds(18));
    CHECK(fleet.version(5) == 1);
    int checks = 0;
    int stale = 0;
    for (; fleet.world().now() < seconds(27); ++checks) {
        fleet.world().run(fleet.world().now() + milliseconds(50));
        for (int node = 0; node < fleet.nodeCount(); ++node)
            stale += fleet.fresh(node) ? 0 : 1;
    }
    CHECK(checks > 100);
    CHECK(stale == 0);
}

// Guards against keyed routes that stop for the lease duration T when the holder of the
// configuration lease crashes.
TEST_CASE("The crash of the configuration holder does not interrupt proofs while the store is up")
{
    PublicationFleet fleet(3, false, {});
    fleet.world().run(seconds(8));
    fleet.publish(1, {});
    fleet.world().run(seconds(12));
    const int holder = fleet.lease().holder();
    REQUIRE(holder >= 0);
    fleet.world().crash(holder);
    int stale = 0;
    while (fleet.world().now() < seconds(20)) {
        fleet.world().run(fleet.world().now() + milliseconds(50));
        for (int node = 0; node < fleet.nodeCount(); ++node)
            stale += node == holder || fleet.fresh(node) ? 0 : 1;
    }
    CHECK(stale == 0);
}
