#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Settings of the retry budget of a service. */
struct RepeatBudgetSettings
{
    /** Retries allowed for each first attempt. */
    double m_ratio = 0.15;
    /** Time over which retries and first attempts are counted. */
    std::chrono::milliseconds m_window{10000};
    /** Retries in a window that need no first attempts. */
    double m_initial = 1.5;
    /** Fraction of the retries that is reserved for the most important requests. */
    double m_keptForImportant = 0.2;
};

/** Counts of one service in steps of a window's twentieth. */
struct RepeatCounts
{
    static constexpr std::size_t StepsPerWindow = 20;
    /** This window, the one before it and the step that has begun. */
    static constexpr std::size_t Steps = 2 * StepsPerWindow + 1;

    struct Step
    {
        double m_firstAttempts = 0.0;
        double m_retries = 0.0;
    };

    /** The newest step comes first. */
    std::array<Step, Steps> m_steps;
    std::chrono::steady_clock::time_point m_stepStart;
};

/**
 * Retries that one node may send, by service. In each window, retries <= ratio * first attempts +
 * initial, where the first attempts are the mean of this window and the one before it: requests
 * that fail early make fewer nested calls, so that the budget would shrink just when it is needed.
 * All nodes take the same mean, so the sum over nodes keeps a bound on the larger of both windows
 * without any exchange between them.
 */
struct RepeatBudget
{
    RepeatBudgetSettings m_settings;
    std::unordered_map<std::string, RepeatCounts> m_services;
};

/** Counts the first attempt of a request to the service. */
void recordFirstAttempt(RepeatBudget &budget, const std::string &service,
                        std::chrono::steady_clock::time_point now);

/** Runs at other services that a retry causes through its nested calls, by service. */
using NestedRuns = std::unordered_map<std::string, double>;

/** @returns whether the budget allows a retry of the request. */
bool hasRepeat(RepeatBudget &budget, const std::string &service, bool important,
               std::chrono::steady_clock::time_point now);

/**
 * Takes one retry from the budget of the service. The nested calls of the retry are charged to the
 * budgets of the services that they reach, because they are retries for these services too.
 * @param important whether the request is one of the most important ones.
 * @returns whether the budget allowed it.
 */
bool takeRepeat(RepeatBudget &budget, const std::string &service, bool important,
                const NestedRuns &nestedRuns, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
