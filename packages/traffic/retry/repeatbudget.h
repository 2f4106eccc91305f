#pragma once

#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Settings of the budget for sending requests again. */
struct RepeatBudgetSettings
{
    /** Repeats allowed for each first attempt. */
    double m_ratio = 0.1;
    /** Repeats that may be saved up at one node. */
    double m_maximum = 3.0;
    /** Repeats allowed at the start. */
    double m_initial = 1.0;
};

/** Repeats that one node may still send, by service. */
struct RepeatBudget
{
    RepeatBudgetSettings m_settings;
    std::unordered_map<std::string, double> m_tokens;
};

/** Adds the allowance of a request's first attempt. */
void recordFirstAttempt(RepeatBudget &budget, const std::string &service);

/** Takes one repeat. @returns whether the budget allowed it. */
bool takeRepeat(RepeatBudget &budget, const std::string &service);

} // namespace chervilmount::traffic
