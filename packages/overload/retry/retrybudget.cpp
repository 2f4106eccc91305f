#include "overload/retry/retrybudget.h"

#include <algorithm>

namespace chervilmount::overload {

void recordSuccess(RetryBudget &budget, const RetryBudgetSettings &settings)
{
    budget.m_tokens = std::min(budget.m_tokens + settings.m_perSuccess, settings.m_maximum);
}

bool takeRetryToken(RetryBudget &budget, const RetryBudgetSettings &settings,
                    std::chrono::steady_clock::time_point now)
{
    if (budget.m_refilledAt == std::chrono::steady_clock::time_point{})
        budget.m_refilledAt = now;
    // Tokens earned by time are capped at one second's worth, so that an idle service does not
    // accumulate more.
    const double earned =
            std::chrono::duration<double>(now - budget.m_refilledAt).count() * settings.m_perSecond;
    if (earned > 0.0 && budget.m_tokens < settings.m_perSecond)
        budget.m_tokens = std::min(budget.m_tokens + earned, settings.m_perSecond);
    budget.m_refilledAt = now;
    if (budget.m_tokens < 1.0)
        return false;
    budget.m_tokens -= 1.0;
    return true;
}

} // namespace chervilmount::overload
