#pragma once

#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Settings of the retry budget of a service. */
struct RepeatBudgetSettings
{
    /** Retries earned by each first attempt. */
    double m_ratio = 0.15;
    /** Maximum number of retries that can accumulate at one node. */
    double m_maximum = 3.0;
    /** Initial number of retries. */
    double m_initial = 1.5;
    /** Balance that is reserved for the most important requests. */
    double m_keptForImportant = 0.5;
    /** Minimum balance; charges for the nested calls of retries may make it negative. */
    double m_minimum = -10.0;
};

/** Retries that one node may still send, by service. */
struct RepeatBudget
{
    RepeatBudgetSettings m_settings;
    std::unordered_map<std::string, double> m_tokens;
};

/** Credits the service for the first attempt of a request. */
void recordFirstAttempt(RepeatBudget &budget, const std::string &service);

/** Runs at other services that a retry causes through its nested calls, by service. */
using NestedRuns = std::unordered_map<std::string, double>;

/** @returns whether the budget allows a retry of the request. */
bool hasRepeat(RepeatBudget &budget, const std::string &service, bool important);

/**
 * Takes one retry from the budget of the service. The nested calls of the retry are charged to the
 * budgets of the services that they reach, because they are retries for these services too.
 * @param important whether the request is one of the most important ones.
 * @returns whether the budget allowed it.
 */
bool takeRepeat(RepeatBudget &budget, const std::string &service, bool important,
                const NestedRuns &nestedRuns);

} // namespace chervilmount::traffic
