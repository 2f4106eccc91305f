#pragma once

#include "overload/rank/rank.h"
#include "overload/reason/reason.h"

#include <chrono>
#include <random>

namespace chervilmount::overload {

/** Fraction of the requests above the threshold that are forwarded as probes. */
constexpr double ProbeFraction = 0.01;

/**
 * A request above the threshold is also a probe if none was sent for this time. On a route with low
 * demand, 1 % is too rare to detect within 2 s that the subtree admits requests again.
 */
constexpr std::chrono::milliseconds ProbeInterval{250};

/** A threshold that was not confirmed for this time is stale. */
constexpr std::chrono::seconds ThresholdLifetime{1};

/** Admission threshold of a subtree, propagated with its responses. */
struct CarriedThreshold
{
    /** Highest rank that the subtree admits. */
    Rank m_rank = HighestRank;
    /** When a response last confirmed the value. */
    std::chrono::steady_clock::time_point m_confirmedAt;
};

/** Sets the value received with a response or refusal. */
void confirmThreshold(CarriedThreshold &threshold, Rank rank,
                      std::chrono::steady_clock::time_point now);

/**
 * @returns the effective value: after each second without confirmation the distance to HighestRank
 * is halved, and after 5 such seconds every rank is admitted.
 */
Rank thresholdNow(const CarriedThreshold &threshold, std::chrono::steady_clock::time_point now);

/** @returns whether a response has confirmed the value within ThresholdLifetime. */
bool isFresh(const CarriedThreshold &threshold, std::chrono::steady_clock::time_point now);

/** Decision on a request at a threshold. */
struct ThresholdDecision
{
    bool m_sendOn = true;
    Reason m_reason = Reason::BelowThreshold;
};

/**
 * Forwards requests up to the threshold, and probes of the rest.
 * @param lastProbe when the last probe for this service and route was sent; updated.
 */
ThresholdDecision decideByThreshold(Rank rank, Rank threshold,
                                    std::chrono::steady_clock::time_point &lastProbe,
                                    std::chrono::steady_clock::time_point now,
                                    std::mt19937_64 &random);

} // namespace chervilmount::overload
