#include "routing/choice/candidate.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::routing {

double drawWeight(const Candidate &candidate, const RoutingSettings &settings,
                  std::chrono::steady_clock::time_point now)
{
    const std::chrono::nanoseconds age = now - candidate.m_appearedAt;
    if (age >= settings.m_slowStart)
        return 1.0;
    const double part = std::chrono::duration<double>(age)
            / std::chrono::duration<double>(settings.m_slowStart);
    return settings.m_firstWeight + (1.0 - settings.m_firstWeight) * std::max(part, 0.0);
}

double loadPerSlot(const Candidate &candidate, const RoutingSettings &settings,
                   std::chrono::steady_clock::time_point now)
{
    const double halvings = std::chrono::duration<double>(now - candidate.m_loadAt)
            / std::chrono::duration<double>(settings.m_loadHalfLife);
    const double aged = candidate.m_load * std::exp2(-std::max(halvings, 0.0));
    return (candidate.m_inFlight + aged) / std::max(candidate.m_member.m_slots, 1);
}

overload::Rank candidateThreshold(const Candidate &candidate, overload::NameNumber route,
                                  std::chrono::steady_clock::time_point now)
{
    if (route >= candidate.m_thresholds.size())
        return overload::HighestRank;
    return overload::thresholdNow(candidate.m_thresholds[route], now);
}

overload::Rank serviceThreshold(const ServiceCandidates &candidates, overload::NameNumber route,
                                std::chrono::steady_clock::time_point now)
{
    bool known = false;
    bool fresh = false;
    overload::Rank highest = 0;
    overload::Rank highestFresh = 0;
    for (const Candidate &candidate : candidates.m_candidates) {
        if (candidate.m_member.m_excluded || isEjected(candidate.m_outlier, now))
            continue;
        known = true;
        const overload::Rank threshold = candidateThreshold(candidate, route, now);
        highest = std::max(highest, threshold);
        if (route < candidate.m_thresholds.size()
            && overload::isFresh(candidate.m_thresholds[route], now)) {
            fresh = true;
            highestFresh = std::max(highestFresh, threshold);
        }
    }
    if (fresh)
        return highestFresh;
    return known ? highest : overload::HighestRank;
}

overload::ThresholdDecision decideSend(ServiceCandidates &candidates, overload::NameNumber route,
                                       overload::Rank rank,
                                       std::chrono::steady_clock::time_point now,
                                       std::mt19937_64 &random)
{
    if (route >= candidates.m_lastProbes.size())
        candidates.m_lastProbes.resize(route + 1);
    return overload::decideByThreshold(rank, serviceThreshold(candidates, route, now),
                                       candidates.m_lastProbes[route], now, random);
}

} // namespace chervilmount::routing
