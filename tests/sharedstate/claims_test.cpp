#include "sharedstate/claimschedule.h"

#include <catch2/catch.hpp>

using namespace chervilmount::sharedstate;
using namespace chervilmount::simulation;

namespace {

constexpr std::uint64_t FirstSeed = 1000000;

Schedule scheduleWith(const ClaimFaults &faults)
{
    return [faults](std::uint64_t seed, bool traced) {
        return runClaimSchedule(seed, traced, faults);
    };
}

} // namespace

// Guards against a once-only request that runs twice, a "not run" for a request that did run, and a
// replayed response that belongs to another request.
TEST_CASE("Once-only requests run at most once and refusals as not run are true, part 1 of 2")
{
    checkSchedules("once-only", FirstSeed, 0, 2, scheduleWith({}));
}

TEST_CASE("Once-only requests run at most once and refusals as not run are true, part 2 of 2")
{
    checkSchedules("once-only", FirstSeed, 1, 2, scheduleWith({}));
}

// Verifies that the checker detects each injected fault.
TEST_CASE("The once-only checker finds each broken rule")
{
    ClaimFaults early;
    early.m_dispatchBeforeClaimKnown = true;
    checkViolationFound("dispatch before the claim is known", FirstSeed, 2000, scheduleWith(early));
    ClaimFaults unknown;
    unknown.m_treatUnknownAsClaimed = true;
    checkViolationFound("unknown insert taken for a claim", FirstSeed, 2000, scheduleWith(unknown));
    ClaimFaults release;
    release.m_releaseAfterUnknownOutcome = true;
    checkViolationFound("claim released after an unknown outcome", FirstSeed, 2000,
                        scheduleWith(release));
    ClaimFaults unconditional;
    unconditional.m_unconditionalRelease = true;
    checkViolationFound("claim released without its revision", FirstSeed, 2000,
                        scheduleWith(unconditional));
}
