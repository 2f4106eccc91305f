#include "traffic/retry/repeatbudget.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

double &tokensOf(RepeatBudget &budget, const std::string &service)
{
    return budget.m_tokens.try_emplace(service, budget.m_settings.m_initial).first->second;
}

} // namespace

void recordFirstAttempt(RepeatBudget &budget, const std::string &service)
{
    double &tokens = tokensOf(budget, service);
    tokens = std::min(tokens + budget.m_settings.m_ratio, budget.m_settings.m_maximum);
}

bool hasRepeat(RepeatBudget &budget, const std::string &service, bool important)
{
    const double needed = important ? 1.0 : 1.0 + budget.m_settings.m_keptForImportant;
    return tokensOf(budget, service) >= needed;
}

bool takeRepeat(RepeatBudget &budget, const std::string &service, bool important,
                const NestedRuns &nestedRuns)
{
    if (!hasRepeat(budget, service, important))
        return false;
    tokensOf(budget, service) -= 1.0;
    for (const auto &[nested, runs] : nestedRuns) {
        double &tokens = tokensOf(budget, nested);
        tokens = std::max(tokens - runs, budget.m_settings.m_minimum);
    }
    return true;
}

} // namespace chervilmount::traffic
