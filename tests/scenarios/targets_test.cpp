// Checks the targets of section 1.3 of the design in simulations in virtual time with a fixed seed.
// Each test guards against a change of the decision code that misses the target in its scenario.
#include "benchmarks/overload/simulation.h"

#include <catch2/catch.hpp>

using namespace chervilmount::scenarios;

namespace {

constexpr std::uint64_t Seed = 1;

Measures run(const Deployment &deployment, const std::string &scenario)
{
    const Measures measures = runScenario(deployment, scenarioNamed(deployment, scenario),
                                          variantNamed("chervilmount"), Seed);
    INFO(scenario);
    // Guards against a simulation without load.
    CHECK(measures.m_events > 100000);
    return measures;
}

} // namespace

// Guards against checks that pass independently of the decision code.
TEST_CASE("Without control the goodput and important targets are missed")
{
    const Measures measures = runScenario(addis(), scenarioNamed(addis(), "deep service slow"),
                                          variantNamed("no control"), Seed);
    CHECK(measures.m_goodputShare < 0.95);
    CHECK(measures.m_importantShare < 0.99);
    CHECK(measures.m_wastedShare > 0.05);
}

// Guards against a bound check that cannot fail.
TEST_CASE("Three retries per hop exceed the bound of attempts")
{
    const Measures measures = runScenario(addis(), scenarioNamed(addis(), "deep service slow"),
                                          variantNamed("fixed limit, 3 retries"), Seed);
    CHECK(measures.m_boundViolations > 0);
}

// Guards against results that depend on the machine or on memory addresses.
TEST_CASE("The same seed gives the same measures")
{
    const Measures first = run(addis(), "slow twice");
    const Measures second = run(addis(), "slow twice");
    CHECK(first.m_events == second.m_events);
    CHECK(first.m_goodputShare == second.m_goodputShare);
    CHECK(first.m_wastedShare == second.m_wastedShare);
}

// One test case per target, so that missed targets can be listed individually.
#define TARGETS(deployment, scenario)                                             \
    TEST_CASE(#deployment ", " scenario ": goodput >= 95 %")                      \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_goodputShare >= 0.95);                \
    }                                                                             \
    TEST_CASE(#deployment ", " scenario ": attempts within the bound")            \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_boundViolations == 0);                \
    }                                                                             \
    TEST_CASE(#deployment ", " scenario ": recovery <= 2 s")                      \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_recovery <= std::chrono::seconds{2}); \
    }                                                                             \
    TEST_CASE(#deployment ", " scenario ": worst organisation >= 90 % of best")   \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_worstOverBest >= 0.90);               \
    }                                                                             \
    TEST_CASE(#deployment ", " scenario ": wasted <= 5 %")                        \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_wastedShare <= 0.05);                 \
    }                                                                             \
    TEST_CASE(#deployment ", " scenario ": important >= 99 %")                    \
    {                                                                             \
        CHECK(run(deployment(), scenario).m_importantShare >= 0.99);              \
    }

TARGETS(addis, "deep service slow")
TARGETS(addis, "deep service contended")
TARGETS(addis, "demand x3")
TARGETS(addis, "callers repeat at once")
TARGETS(addis, "slow, callers repeat at once")
TARGETS(addis, "one organisation x5")
TARGETS(addis, "one organisation x5, rates")
TARGETS(addis, "failure domain lost")
TARGETS(addis, "backend server hangs")
TARGETS(addis, "backend server refuses fast")
TARGETS(addis, "all cold")
TARGETS(addis, "domain lost while slow")
TARGETS(addis, "slow twice")

TARGETS(halvern, "deep service slow")
TARGETS(halvern, "deep service contended")
TARGETS(halvern, "demand x3")
TARGETS(halvern, "callers repeat at once")
TARGETS(halvern, "slow, callers repeat at once")
TARGETS(halvern, "one organisation x5")
TARGETS(halvern, "one organisation x5, rates")
TARGETS(halvern, "failure domain lost")
TARGETS(halvern, "backend server hangs")
TARGETS(halvern, "backend server refuses fast")
TARGETS(halvern, "all cold")
TARGETS(halvern, "domain lost while slow")
TARGETS(halvern, "slow twice")
