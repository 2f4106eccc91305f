#pragma once

#include <chrono>

namespace chervilmount::routing {

/** One node's part of the paid link between regions, as a token bucket of bytes. */
struct LinkBudget
{
    /** Bytes a second; 0 closes the link. */
    double m_rate = 0.0;
    /** Bytes that can be saved up. */
    double m_maximum = 0.0;
    /** Negative after a response that was larger than estimated. */
    double m_level = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
};

/**
 * @param linkBytesPerSecond rate of the link in one direction.
 * @param nodesInRegion nodes that share it; each gets an equal part.
 */
LinkBudget makeLinkBudget(double linkBytesPerSecond, int nodesInRegion,
                          std::chrono::steady_clock::time_point now);

/** Sets the rate anew after the number of nodes in the region has changed; the level stays. */
void resizeLinkBudget(LinkBudget &budget, double linkBytesPerSecond, int nodesInRegion);

/** @returns whether the budget covers the estimate now. */
bool coversBytes(const LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now);

/** Takes the estimated bytes of a call. */
void takeBytes(LinkBudget &budget, double bytes, std::chrono::steady_clock::time_point now);

/** Corrects the level by what a call really used. */
void settleBytes(LinkBudget &budget, double estimated, double used);

} // namespace chervilmount::routing
