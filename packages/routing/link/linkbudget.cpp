#include "routing/link/linkbudget.h"

#include <algorithm>

namespace chervilmount::routing {

namespace {

/** Burst of the token bucket in seconds, so that a response of average size fits into a small share
 * of the link. */
constexpr double SavedSeconds = 1.0;

double levelAt(const LinkBudget &budget, std::chrono::steady_clock::time_point now)
{
    const double age = std::chrono::duration<double>(now - budget.m_refilledAt).count();
    return std::min(budget.m_level + std::max(age, 0.0) * budget.m_rate, budget.m_maximum);
}

} // namespace

LinkBudget makeLinkBudget(double linkBytesPerSecond, int nodesInRegion,
                          std::chrono::steady_clock::time_point now)
{
    LinkBudget budget;
    resizeLinkBudget(budget, linkBytesPerSecond, nodesInRegion);
    budget.m_level = budget.m_maximum;
    budget.m_refilledAt = now;
    return budget;
}

void resizeLinkBudget(LinkBudget &budget, double linkBytesPerSecond, int nodesInRegion)
{
    budget.m_rate = linkBytesPerSecond / std::max(nodesInRegion, 1);
    budget.m_maximum = budget.m_rate * SavedSeconds;
    budget.m_level = std::min(budget.m_level, budget.m_maximum);
}

bool coversBytes(const LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now)
{
    const double level = levelAt(budget, now);
    // A response larger than the whole budget is allowed when the budget is full; the level then
    // becomes negative.
    return level > 0.0 && level >= std::min(bytes, budget.m_maximum);
}

void takeBytes(LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now)
{
    budget.m_level = levelAt(budget, now) - bytes;
    budget.m_refilledAt = now;
}

void settleBytes(LinkBudget &budget, double estimated, double used)
{
    budget.m_level = std::min(budget.m_level + estimated - used, budget.m_maximum);
}

} // namespace chervilmount::routing
