#include "overload/overload.h"

#include <catch2/catch.hpp>

using namespace chervilmount::overload;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

RetryDecision decide(const FailedAttempt &attempt, AttemptAllowance &own, RetryBudget &budget)
{
    std::mt19937_64 random(1);
    return decideRetry(attempt, own, budget, RetryBudgetSettings{}, Start, random);
}

FailedAttempt failedAttempt(Failure failure)
{
    FailedAttempt attempt;
    attempt.m_failure = failure;
    attempt.m_deadline = Start + 1s;
    return attempt;
}

} // namespace

// Guards against running a once-only request twice.
TEST_CASE("A once-only call is retried only after a proven not run")
{
    RetryBudget budget;
    AttemptAllowance own{2, false};
    FailedAttempt attempt = failedAttempt(Failure::MayHaveRun);
    attempt.m_onceOnly = true;
    CHECK(decide(attempt, own, budget).m_reason == Reason::OnceOnlyMayHaveRun);
    attempt.m_failure = Failure::NotRun;
    CHECK(decide(attempt, own, budget).m_allowance.has_value());
}

// Guards against retry amplification over several hops.
TEST_CASE("A failure further down is not retried")
{
    RetryBudget budget;
    AttemptAllowance own{2, false};
    CHECK(decide(failedAttempt(Failure::FurtherDown), own, budget).m_reason
          == Reason::NotRetryable);
    CHECK(own.m_extraAttempts == 2);
}

// Guards against a retry storm of one node when most calls fail.
TEST_CASE("The retry budget allows a tenth of the successes and at least one a second")
{
    const RetryBudgetSettings settings;
    RetryBudget budget;
    budget.m_tokens = 0.0;
    for (int call = 0; call < 100; ++call)
        recordSuccess(budget, settings);
    int allowed = 0;
    while (takeRetryToken(budget, settings, Start))
        ++allowed;
    CHECK(allowed >= 9);
    CHECK(allowed <= 10);
    // Without successes the budget earns one token per second and accumulates at most one.
    int later = 0;
    for (std::chrono::milliseconds age = 100ms; age <= 20s; age += 100ms)
        later += takeRetryToken(budget, settings, Start + age) ? 1 : 0;
    CHECK(later >= 19);
    CHECK(later <= 21);
    CHECK(takeRetryToken(budget, settings, Start + 1h));
    CHECK_FALSE(takeRetryToken(budget, settings, Start + 1h));
}

// Guards against extra attempts being created when parts are delegated and reclaimed.
TEST_CASE("The sum of the extra attempts never grows")
{
    AttemptAllowance own{5, false};
    const AttemptAllowance part = *allowFirstAttempt(own, NestedCalls::Possible);
    CHECK(own.m_extraAttempts + part.m_extraAttempts == 5);
    takeBackUnused(own, part, part.m_extraAttempts + 3);
    CHECK(own.m_extraAttempts == 5);
    const AttemptAllowance retry = *allowRetry(own, part, NestedCalls::Possible, false);
    CHECK(retry.m_repeat);
    CHECK(own.m_extraAttempts + retry.m_extraAttempts == 4);
    // A retry of a repeat stays a repeat, also after a proven not run.
    AttemptAllowance other{2, false};
    const std::optional<AttemptAllowance> again =
            allowRetry(other, retry, NestedCalls::Possible, true);
    REQUIRE(again.has_value());
    CHECK(again->m_repeat);
    AttemptAllowance empty{0, true};
    CHECK_FALSE(allowFirstAttempt(empty, NestedCalls::None).has_value());
}

// Guards against retries that end after their deadline.
TEST_CASE("A retry that cannot meet the deadline takes neither attempt nor token")
{
    RetryBudget budget;
    AttemptAllowance own{2, false};
    FailedAttempt attempt = failedAttempt(Failure::NotRun);
    attempt.m_serviceTime = 2s;
    CHECK(decide(attempt, own, budget).m_reason == Reason::DeadlineTooShort);
    CHECK(own.m_extraAttempts == 2);
    CHECK(budget.m_tokens == RetryBudget{}.m_tokens);
}

// Guards against synchronised retries of callers.
TEST_CASE("The delay told to callers is spread and grows with repeats")
{
    std::mt19937_64 random(1);
    std::chrono::milliseconds least = 1h;
    std::chrono::milliseconds most = 0ms;
    for (int call = 0; call < 1000; ++call) {
        const std::chrono::milliseconds delay = callerRetryDelay(1, random);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    CHECK(least >= BaseRetryDelay);
    CHECK(least < BaseRetryDelay * 11 / 10);
    CHECK(most > BaseRetryDelay * 29 / 10);
    CHECK(most <= BaseRetryDelay * 3);
}
