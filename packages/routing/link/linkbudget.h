#pragma once

#include <chrono>

namespace chervilmount::routing {

/** Token bucket in bytes for one node's share of the paid link between regions. */
struct LinkBudget
{
    /** Bytes per second; 0 disables the link. */
    double m_rate = 0.0;
    /** Maximum level in bytes. */
    double m_maximum = 0.0;
    /** Negative after a response that was larger than estimated. */
    double m_level = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
};

/**
 * @param linkBytesPerSecond rate of the link in one direction.
 * @param nodesInRegion number of nodes among which the rate is divided evenly.
 */
LinkBudget makeLinkBudget(double linkBytesPerSecond, int nodesInRegion,
                          std::chrono::steady_clock::time_point now);

/** Adjusts the rate when the number of nodes in the region has changed; the level is kept, up to
 * the new maximum. */
void resizeLinkBudget(LinkBudget &budget, double linkBytesPerSecond, int nodesInRegion);

/** @returns whether the budget covers the estimate now. */
bool coversBytes(const LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now);

/** Takes the estimated bytes of a call. */
void takeBytes(LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now);

/** Replaces the estimated bytes of a call by the bytes used. */
void settleBytes(LinkBudget &budget, double estimated, double used);

} // namespace chervilmount::routing
