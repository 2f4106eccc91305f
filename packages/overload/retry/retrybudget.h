#pragma once

#include <chrono>

namespace chervilmount::overload {

/** Settings of a retry budget. */
struct RetryBudgetSettings
{
    /** Tokens earned by one success. */
    double m_perSuccess = 0.1;
    /** Tokens earned in one second without any success. */
    double m_perSecond = 1.0;
    /** Most tokens that can be saved up; covers the calls in flight at a backend server that dies.
     */
    double m_maximum = 100.0;
};

/** Tokens of one node for retries to one service. */
struct RetryBudget
{
    double m_tokens = 10.0;
    std::chrono::steady_clock::time_point m_refilledAt;
};

/** Earns the tokens of one successful call. */
void recordSuccess(RetryBudget &budget, const RetryBudgetSettings &settings);

/** Takes one token. @returns whether there was one. */
bool takeRetryToken(RetryBudget &budget, const RetryBudgetSettings &settings,
                    std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
