#pragma once

#include "overload/rank/rank.h"
#include "overload/reason/reason.h"

#include <chrono>
#include <random>

namespace chervilmount::overload {

/** Share of the requests above the threshold that the entry sends on as probes. */
constexpr double ProbeFraction = 0.01;

/** Admission threshold that came back with responses of a subtree. */
struct CarriedThreshold
{
    /** Highest rank number that the subtree admits. */
    Rank m_rank = HighestRank;
    /** When a response last confirmed the value. */
    std::chrono::steady_clock::time_point m_confirmedAt;
};

/** Takes the value from a response or refusal. */
void confirmThreshold(CarriedThreshold &threshold, Rank rank,
                      std::chrono::steady_clock::time_point now);

/**
 * @returns the value in force: after each second without confirmation the distance to HighestRank
 * is halved, and after 5 such seconds every rank is admitted.
 */
Rank thresholdNow(const CarriedThreshold &threshold, std::chrono::steady_clock::time_point now);

/** What the entry does with a request. */
struct EntryDecision
{
    bool m_sendOn = true;
    Reason m_reason = Reason::BelowThreshold;
};

/** Decides at the entry: sends on up to the threshold, and ProbeFraction of the rest as probes. */
EntryDecision decideEntry(Rank rank, Rank threshold, std::mt19937_64 &random);

} // namespace chervilmount::overload
