#include "overload/retry/retrydecision.h"

#include "overload/deadline/deadline.h"

#include <algorithm>

namespace chervilmount::overload {

namespace {

// Jitter for the retries of calls that failed together, for example when a backend server crashed.
constexpr std::chrono::microseconds MaximumRetryDelay{5000};
constexpr int MaximumDoublings = 4;

RetryDecision noRetry(Reason reason)
{
    RetryDecision decision;
    decision.m_reason = reason;
    return decision;
}

} // namespace

RetryDecision decideRetry(const FailedAttempt &attempt, AttemptAllowance &own, RetryBudget &budget,
                          const RetryBudgetSettings &settings,
                          std::chrono::steady_clock::time_point now, std::mt19937_64 &random)
{
    if (attempt.m_failure == Failure::FurtherDown)
        return noRetry(Reason::NotRetryable);
    if (attempt.m_onceOnly && attempt.m_failure != Failure::NotRun)
        return noRetry(Reason::OnceOnlyMayHaveRun);
    if (own.m_extraAttempts < 1)
        return noRetry(Reason::NoExtraAttemptsLeft);
    std::uniform_int_distribution<std::int64_t> spread(0, MaximumRetryDelay.count());
    const std::chrono::microseconds delay{spread(random)};
    if (!canMeetDeadline(delay, attempt.m_serviceTime, attempt.m_deadline, now))
        return noRetry(Reason::DeadlineTooShort);
    if (!takeRetryToken(budget, settings, now))
        return noRetry(Reason::RetryBudgetSpent);
    RetryDecision decision;
    decision.m_allowance = allowRetry(own, attempt.m_handedOver, attempt.m_nestedCalls,
                                      attempt.m_failure == Failure::NotRun);
    decision.m_delay = delay;
    decision.m_reason = Reason::RetryAllowed;
    return decision;
}

std::chrono::milliseconds callerRetryDelay(int repeats, std::mt19937_64 &random)
{
    const std::int64_t base = BaseRetryDelay.count() << std::clamp(repeats, 0, MaximumDoublings);
    std::uniform_int_distribution<std::int64_t> spread(base / 2, base + base / 2);
    return std::chrono::milliseconds{spread(random)};
}

} // namespace chervilmount::overload
