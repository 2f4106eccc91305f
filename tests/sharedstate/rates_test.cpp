#include "sharedstate/ratefleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace chervilmount::sharedstate;
using namespace chervilmount::simulation;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t FirstSeed = 3000000;

Schedule scheduleWith(const RateFaults &faults, const LeaseFaults &leaseFaults = {})
{
    return [faults, leaseFaults](std::uint64_t seed, bool traced) {
        return runRateSchedule(seed, traced, faults, leaseFaults);
    };
}

/** Four failure domains with four nodes each; four groups a domain. */
RateFleetPlan largePlan()
{
    RateFleetPlan plan;
    plan.m_domains = 4;
    plan.m_nodesPerDomain = 4;
    plan.m_rate = 400;
    plan.m_burst = 400;
    plan.m_demand = 360;
    plan.m_credit = 0;
    return plan;
}

} // namespace

// Guards against an organisation that exceeds its rate and burst summed over all instances.
TEST_CASE("No organisation exceeds its rate and burst, part 1 of 3")
{
    checkSchedules("rates", FirstSeed, 0, 3, scheduleWith({}));
}

TEST_CASE("No organisation exceeds its rate and burst, part 2 of 3")
{
    checkSchedules("rates", FirstSeed, 1, 3, scheduleWith({}));
}

TEST_CASE("No organisation exceeds its rate and burst, part 3 of 3")
{
    checkSchedules("rates", FirstSeed, 2, 3, scheduleWith({}));
}

// Verifies that the checker detects each injected fault.
TEST_CASE("The rate checker finds each broken rule")
{
    RateFaults early;
    early.m_grantBeforeExpiry = true;
    checkViolationFound("grants before the earlier grants expire", FirstSeed, 10000,
                        scheduleWith(early));
    RateFaults reissue;
    reissue.m_reissueEarly = true;
    checkViolationFound("tokens reissued before the grant expires", FirstSeed, 10000,
                        scheduleWith(reissue));
    RateFaults receipt;
    receipt.m_lifetimeFromReceipt = true;
    checkViolationFound("lifetime counted from the receipt", FirstSeed, 10000,
                        scheduleWith(receipt));
    RateFaults outstanding;
    outstanding.m_ignoreOutstanding = true;
    checkViolationFound("outstanding tokens not counted", FirstSeed, 10000,
                        scheduleWith(outstanding));
    LeaseFaults unchecked;
    unchecked.m_skipRightCheck = true;
    checkViolationFound("right not checked after a pause", FirstSeed, 10000,
                        scheduleWith({}, unchecked));
}

// Guards against wrongful refusals when demand within the rate moves between failure domains.
TEST_CASE("Demand within the rate is refused in at most 1 % with a moving 10:1 skew")
{
    for (const double demand : {320.0, 360.0, 380.0}) {
        RateFleetPlan plan = largePlan();
        plan.m_demand = demand;
        RateFleet fleet(11, false, plan);
        fleet.world().run(seconds(15));
        fleet.resetCounts();
        fleet.world().run(seconds(95));
        std::cout << "demand " << demand << "/s of 400/s, skew 10:1: refused "
                  << 100 * fleet.refusedFraction() << " %, " << fleet.messageCount() / 80 / 16
                  << " messages/s a node\n";
        CHECK(fleet.checker().violation().empty());
        if (demand <= 360)
            CHECK(fleet.refusedFraction() <= 0.01);
    }
}

// Guards against a crash that causes more wrongful refusals than the target in the next 10 s.
TEST_CASE("The crash of any one node costs at most 5 % wrongful refusals in 10 s")
{
    double worst = 0.0;
    for (int run = 0; run < 32; ++run) {
        const int node = run % 16;
        RateFleet fleet(static_cast<std::uint64_t>(21 + run / 16), false, largePlan());
        fleet.world().run(seconds(34));
        fleet.world().crash(node);
        fleet.resetCounts();
        fleet.world().run(seconds(44));
        worst = std::max(worst, fleet.refusedFraction());
        CHECK(fleet.checker().violation().empty());
    }
    std::cout << "worst refusals in the 10 s after a crash: " << 100 * worst << " %\n";
    CHECK(worst <= 0.05);
}

// Guards against a store outage that causes refusals although no node crashed.
TEST_CASE("A store outage of 10 minutes costs no requests")
{
    RateFleetPlan plan = largePlan();
    plan.m_rate = 100;
    plan.m_burst = 100;
    plan.m_demand = 80;
    RateFleet baseline(31, false, plan);
    baseline.world().run(seconds(615));
    RateFleet fleet(31, false, plan);
    fleet.world().run(seconds(15));
    fleet.store().quality().m_up = false;
    fleet.resetCounts();
    fleet.world().run(seconds(615));
    std::cout << "refused in a store outage of 10 minutes: " << 100 * fleet.refusedFraction()
              << " %, without outage " << 100 * baseline.refusedFraction() << " %\n";
    CHECK(fleet.refusedFraction() <= 0.01);
    CHECK(fleet.checker().violation().empty());
}

// Guards against a failure domain that cannot admit requests while it is cut off.
TEST_CASE("A failure domain that is cut off keeps its share")
{
    RateFleet fleet(41, false, largePlan());
    fleet.world().run(seconds(15));
    fleet.store().setCut(0, true);
    for (int domain = 1; domain < 4; ++domain)
        fleet.world().setCut(0, domain, true);
    fleet.setOnlyDomain(0);
    fleet.setDemand(90);
    fleet.world().run(seconds(20));
    fleet.resetCounts();
    fleet.world().run(seconds(80));
    const double rate = static_cast<double>(fleet.admittedCount()) / 60;
    std::cout << "cut-off domain: " << rate << "/s admitted of 90/s, share 100/s, refused "
              << 100 * fleet.refusedFraction() << " %\n";
    CHECK(fleet.refusedFraction() <= 0.05);
    CHECK(fleet.checker().violation().empty());
}
