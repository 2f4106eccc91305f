#include "traffic/retry/repeatbudget.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;

// Guards against retry amplification under failures; the specified bound is a fifth.
TEST_CASE("Retries stay below a fifth of the first attempts")
{
    RepeatBudget budget;
    int repeats = 0;
    for (int request = 0; request < 1000; ++request) {
        recordFirstAttempt(budget, "slips");
        while (takeRepeat(budget, "slips", true, {}))
            ++repeats;
    }
    CHECK(repeats <= 200);
    CHECK(repeats >= 100);
}

// Guards against retries that accumulate during an hour without failures and are spent at once.
TEST_CASE("Few retries can accumulate")
{
    RepeatBudget budget;
    for (int request = 0; request < 100000; ++request)
        recordFirstAttempt(budget, "slips");
    int repeats = 0;
    while (takeRepeat(budget, "slips", true, {}))
        ++repeats;
    CHECK(repeats == 3);
}

// Guards against nested calls of retries that exceed the budgets of the services they reach.
TEST_CASE("The nested calls of a retry are charged to the services that they reach")
{
    RepeatBudget budget;
    budget.m_tokens = {{"slips", 3.0}, {"records", 3.0}};
    CHECK(takeRepeat(budget, "slips", true, {{"records", 8.0}}));
    CHECK_FALSE(takeRepeat(budget, "records", true, {}));
    for (int request = 0; request < 40; ++request)
        recordFirstAttempt(budget, "records");
    CHECK(takeRepeat(budget, "records", true, {}));
}

// Guards against less important requests that exhaust the retry budget.
TEST_CASE("Some retries are reserved for the most important requests")
{
    RepeatBudget budget;
    budget.m_tokens = {{"slips", 2.0}};
    CHECK(takeRepeat(budget, "slips", false, {}));
    CHECK_FALSE(takeRepeat(budget, "slips", false, {}));
    CHECK(takeRepeat(budget, "slips", true, {}));
}
