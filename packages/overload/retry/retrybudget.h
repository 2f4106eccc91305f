#pragma once

#include <chrono>

namespace chervilmount::overload {

/** Settings of a retry budget. */
struct RetryBudgetSettings
{
    /** Tokens earned per success. */
    double m_perSuccess = 0.1;
    /** Tokens earned per second without any success. */
    double m_perSecond = 1.0;
    /** Maximum number of tokens; covers the calls in flight at a backend server that crashes. */
    double m_maximum = 100.0;
};

/** Retry budget of one node for one service. */
struct RetryBudget
{
    double m_tokens = 10.0;
    std::chrono::steady_clock::time_point m_refilledAt;
};

/** Adds the tokens earned by one successful call. */
void recordSuccess(RetryBudget &budget, const RetryBudgetSettings &settings);

/** Takes one token. @returns whether one was available. */
bool takeRetryToken(RetryBudget &budget, const RetryBudgetSettings &settings,
                    std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
