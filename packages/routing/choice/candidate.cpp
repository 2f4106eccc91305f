#include "routing/choice/candidate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilmount::routing {

namespace {

struct Thresholds
{
    std::array<overload::Rank, LargestSubset> m_values{};
    std::size_t m_count = 0;
};

void add(Thresholds &thresholds, overload::Rank value)
{
    if (thresholds.m_count < thresholds.m_values.size())
        thresholds.m_values[thresholds.m_count++] = value;
}

overload::Rank median(Thresholds &thresholds)
{
    const std::array<overload::Rank, LargestSubset>::iterator begin = thresholds.m_values.begin();
    const std::array<overload::Rank, LargestSubset>::iterator middle =
            begin + static_cast<std::ptrdiff_t>(thresholds.m_count / 2);
    std::nth_element(begin, middle, begin + static_cast<std::ptrdiff_t>(thresholds.m_count));
    return *middle;
}

} // namespace

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
    Thresholds nearest;
    Thresholds all;
    Place nearestPlace = Place::OtherRegion;
    bool known = false;
    overload::Rank highest = 0;
    for (const Candidate &candidate : candidates.m_candidates) {
        if (candidate.m_member.m_excluded || isEjected(candidate.m_outlier, now))
            continue;
        known = true;
        const overload::Rank threshold = candidateThreshold(candidate, route, now);
        highest = std::max(highest, threshold);
        if (route >= candidate.m_thresholds.size()
            || !overload::isFresh(candidate.m_thresholds[route], now))
            continue;
        if (threshold == overload::HighestRank)
            return overload::HighestRank;
        if (candidate.m_member.m_place < nearestPlace) {
            nearestPlace = candidate.m_member.m_place;
            nearest.m_count = 0;
        }
        if (candidate.m_member.m_place == nearestPlace)
            add(nearest, threshold);
        add(all, threshold);
    }
    if (all.m_count == 0)
        return known ? highest : overload::HighestRank;
    return std::max(median(nearest), median(all));
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
