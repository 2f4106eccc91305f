#include "overload/rank/rank.h"

#include "model/configuration/priority.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace chervilmount::overload {

namespace {

// The meter averages over one second, so Poisson arrivals at the agreed rate exceed that rate by a
// few percent half of the time; the tolerance keeps them at level 0.
constexpr double LevelOneRatio = 1.1;
constexpr double LevelTwoRatio = 1.5;
constexpr double LevelThreeRatio = 2.0;

} // namespace

Rank makeRank(int priority, int overUseLevel, const model::RequestId &requestId)
{
    const int clampedPriority = std::clamp(priority, 0, model::PriorityLevels - 1);
    const int clampedLevel = std::clamp(overUseLevel, 0, OverUseLevels - 1);
    const int hash =
            static_cast<int>(XXH3_64bits(requestId.data(), requestId.size()) % RanksPerClass);
    return static_cast<Rank>((clampedPriority * OverUseLevels + clampedLevel) * RanksPerClass
                             + hash);
}

int classOf(Rank rank)
{
    return std::min<int>(rank, HighestRank) / RanksPerClass;
}

int priorityOf(Rank rank)
{
    return classOf(rank) / OverUseLevels;
}

int overUseLevel(double usedRate, double shareRate, int repeats)
{
    const double ratio = shareRate > 0.0 ? usedRate / shareRate : 0.0;
    int level = 0;
    if (ratio > LevelThreeRatio)
        level = 3;
    else if (ratio > LevelTwoRatio)
        level = 2;
    else if (ratio > LevelOneRatio)
        level = 1;
    return std::min(level + std::max(repeats, 0), OverUseLevels - 1);
}

double recordUse(UsageMeter &meter, std::chrono::steady_clock::time_point now)
{
    const double age = std::chrono::duration<double>(now - meter.m_updatedAt).count();
    meter.m_rate = meter.m_rate * std::exp(-std::max(age, 0.0)) + 1.0;
    meter.m_updatedAt = now;
    return meter.m_rate;
}

} // namespace chervilmount::overload
