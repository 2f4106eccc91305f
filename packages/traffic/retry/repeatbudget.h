#pragma once

#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Settings of the budget for sending requests again. */
struct RepeatBudgetSettings
{
    /** Repeats allowed for each first attempt. */
    double m_ratio = 0.15;
    /** Repeats that may be saved up at one node. */
    double m_maximum = 3.0;
    /** Repeats allowed at the start. */
    double m_initial = 1.5;
    /** Repeats that must be left for a less important request to take one. */
    double m_keptForImportant = 0.5;
    /** Lowest value to which the nested calls of repeats may bring a budget. */
    double m_minimum = -10.0;
};

/** Repeats that one node may still send, by service. */
struct RepeatBudget
{
    RepeatBudgetSettings m_settings;
    std::unordered_map<std::string, double> m_tokens;
};

/** Adds the allowance of a request's first attempt. */
void recordFirstAttempt(RepeatBudget &budget, const std::string &service);

/** Runs that a repeat makes at other services by its nested calls. */
using NestedRuns = std::unordered_map<std::string, double>;

/** @returns whether the budget has a repeat for the request. */
bool hasRepeat(RepeatBudget &budget, const std::string &service, bool important);

/**
 * Takes one repeat. The nested calls that it makes are charged to the services that they go to,
 * since they reach these a second time.
 * @param important whether the request is one of the most important ones.
 * @returns whether the budget allowed it.
 */
bool takeRepeat(RepeatBudget &budget, const std::string &service, bool important,
                const NestedRuns &nestedRuns);

} // namespace chervilmount::traffic
