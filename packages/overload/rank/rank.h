#pragma once

#include "model/request/requestcontext.h"

#include <chrono>
#include <cstdint>

namespace chervilmount::overload {

/** Importance of a request: priority (3 bits), over-use level (2 bits), hash (8 bits). Lower is
 * more important. */
using Rank = std::uint16_t;

constexpr int OverUseLevels = 4;
/** Number of pairs of priority and over-use level. */
constexpr int RankClasses = 32;
constexpr int RanksPerClass = 256;
constexpr int RankCount = RankClasses * RanksPerClass;
constexpr Rank HighestRank = RankCount - 1;

/** Repeats of a request by its caller within this period raise the over-use level. */
constexpr std::chrono::seconds RepeatPeriod{10};

/**
 * Computes the rank of a request, once at the entry node.
 * @param priority 0 to 7; other values are clamped.
 * @param overUseLevel 0 to 3; other values are clamped.
 */
Rank makeRank(int priority, int overUseLevel, const model::RequestId &requestId);

/** @returns the pair of priority and over-use level as a number from 0 to RankClasses - 1. */
int classOf(Rank rank);

/** @returns the priority that the rank was made from. */
int priorityOf(Rank rank);

/**
 * Computes how far an organisation exceeds its share of a rate limit.
 * @param usedRate requests per second that the organisation sends in this share.
 * @param shareRate requests per second of the share.
 * @param repeats how often this request was repeated by its caller within RepeatPeriod.
 * @returns 0 up to 1.1 times the share, 1 up to 1.5, 2 up to 2, otherwise 3; one more per repeat.
 */
int overUseLevel(double usedRate, double shareRate, int repeats);

/** Exponential moving average of an organisation's request rate over one second. */
struct UsageMeter
{
    double m_rate = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/** Counts one request. @returns the rate including this request, in requests per second. */
double recordUse(UsageMeter &meter, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
