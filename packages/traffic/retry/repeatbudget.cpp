#include "traffic/retry/repeatbudget.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** @returns the counts of the service, advanced to the step of the present time. */
RepeatCounts &countsOf(RepeatBudget &budget, const std::string &service, TimePoint now)
{
    const auto [entry, isNew] = budget.m_services.try_emplace(service);
    RepeatCounts &counts = entry->second;
    if (isNew)
        counts.m_stepStart = now;
    const std::chrono::nanoseconds step =
            std::chrono::nanoseconds(budget.m_settings.m_window) / RepeatCounts::StepsPerWindow;
    const auto passed = static_cast<std::size_t>(
            std::max(std::chrono::nanoseconds::rep{0}, (now - counts.m_stepStart) / step));
    if (passed == 0)
        return counts;
    counts.m_stepStart += step * passed;
    const std::size_t shift = std::min(passed, RepeatCounts::Steps);
    std::move_backward(counts.m_steps.begin(),
                       counts.m_steps.end() - static_cast<std::ptrdiff_t>(shift),
                       counts.m_steps.end());
    std::fill_n(counts.m_steps.begin(), shift, RepeatCounts::Step{});
    return counts;
}

double allowedRetries(const RepeatBudgetSettings &settings, const RepeatCounts &counts)
{
    // The steps of both windows cover at most their time, those of the retries at least.
    double attempts = 0.0;
    for (std::size_t step = 0; step < 2 * RepeatCounts::StepsPerWindow; ++step)
        attempts += counts.m_steps.at(step).m_firstAttempts;
    return settings.m_initial + settings.m_ratio * attempts / 2.0;
}

double usedRetries(const RepeatCounts &counts)
{
    double retries = 0.0;
    for (std::size_t step = 0; step <= RepeatCounts::StepsPerWindow; ++step)
        retries += counts.m_steps.at(step).m_retries;
    return retries;
}

} // namespace

void recordFirstAttempt(RepeatBudget &budget, const std::string &service, TimePoint now)
{
    countsOf(budget, service, now).m_steps.front().m_firstAttempts += 1.0;
}

bool hasRepeat(RepeatBudget &budget, const std::string &service, bool important, TimePoint now)
{
    const RepeatCounts &counts = countsOf(budget, service, now);
    const double share = important ? 1.0 : 1.0 - budget.m_settings.m_keptForImportant;
    return usedRetries(counts) + 1.0 <= allowedRetries(budget.m_settings, counts) * share;
}

bool takeRepeat(RepeatBudget &budget, const std::string &service, bool important,
                const NestedRuns &nestedRuns, TimePoint now)
{
    if (!hasRepeat(budget, service, important, now))
        return false;
    countsOf(budget, service, now).m_steps.front().m_retries += 1.0;
    for (const auto &[nested, runs] : nestedRuns)
        countsOf(budget, nested, now).m_steps.front().m_retries += runs;
    return true;
}

} // namespace chervilmount::traffic
