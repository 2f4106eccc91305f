#include "overload/threshold/carriedthreshold.h"

namespace chervilmount::overload {

namespace {

constexpr std::chrono::seconds DecayStep{1};
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
    const std::int64_t steps = (now - threshold.m_confirmedAt) / DecayStep;
    if (steps <= 0)
        return threshold.m_rank;
    if (steps >= StepsUntilOpen)
        return HighestRank;
    const int distance = HighestRank - threshold.m_rank;
    return static_cast<Rank>(HighestRank - (distance >> steps));
}

EntryDecision decideEntry(Rank rank, Rank threshold, std::mt19937_64 &random)
{
    if (rank <= threshold)
        return {true, Reason::BelowThreshold};
    std::bernoulli_distribution probe(ProbeFraction);
    if (probe(random))
        return {true, Reason::Probe};
    return {false, Reason::AboveThreshold};
}

} // namespace chervilmount::overload
