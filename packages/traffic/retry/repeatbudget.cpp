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

bool takeRepeat(RepeatBudget &budget, const std::string &service)
{
    double &tokens = tokensOf(budget, service);
    if (tokens < 1.0)
        return false;
    tokens -= 1.0;
    return true;
}

} // namespace chervilmount::traffic
