#include "overload/threshold/carriedthreshold.h"

namespace chervilmount::overload {

namespace {

constexpr std::int64_t StepsUntilOpen = 5;

} // namespace

void confirmThreshold(CarriedThreshold &threshold, Rank rank,
                      std::chrono::steady_clock::time_point now)
{
    threshold.m_rank = rank;
    threshold.m_confirmedAt = now;
}

Rank thresholdNow(const CarriedThreshold &threshold, std::chrono::steady_clock::time_point now)
{
    if (threshold.m_rank >= HighestRank)
        return HighestRank;
    const std::int64_t steps = (now - threshold.m_confirmedAt) / ThresholdLifetime;
    if (steps <= 0)
        return threshold.m_rank;
    if (steps >= StepsUntilOpen)
        return HighestRank;
    const int distance = HighestRank - threshold.m_rank;
    return static_cast<Rank>(HighestRank - (distance >> steps));
}

bool isFresh(const CarriedThreshold &threshold, std::chrono::steady_clock::time_point now)
{
    return now - threshold.m_confirmedAt < ThresholdLifetime;
}

ThresholdDecision decideByThreshold(Rank rank, Rank threshold,
                                    std::chrono::steady_clock::time_point &lastProbe,
                                    std::chrono::steady_clock::time_point now,
                                    std::mt19937_64 &random)
{
    if (rank <= threshold)
        return {true, Reason::BelowThreshold};
    std::bernoulli_distribution probe(ProbeFraction);
    if (now - lastProbe < ProbeInterval && !probe(random))
        return {false, Reason::AboveThreshold};
    lastProbe = now;
    return {true, Reason::Probe};
}

} // namespace chervilmount::overload
