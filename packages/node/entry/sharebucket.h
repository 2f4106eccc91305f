#pragma once

#include <chrono>

namespace chervilmount::node {

/** Part of an organisation's rate and burst that one entry node may use by itself. */
struct NodeShare
{
    /** Requests a second. */
    double m_rate = 0.0;
    /** Requests that may be saved up; at least 1. */
    double m_cap = 1.0;
};

/**
 * Token bucket of one organisation at one entry node. The rate of a failure domain is split equally
 * over its nodes, so the sum over the fleet stays within the rate without any message; demand that
 * is spread unevenly over the nodes is refused earlier than it need be.
 */
struct ShareBucket
{
    double m_level = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
    bool m_used = false;
};

/** Takes one token. @returns whether there was one. */
bool takeToken(ShareBucket &bucket, const NodeShare &share,
               std::chrono::steady_clock::time_point now);

/** Gives back the token of a request that did not run. */
void returnToken(ShareBucket &bucket, const NodeShare &share);

/** @returns the time until the next token. */
std::chrono::milliseconds untilNextToken(const ShareBucket &bucket, const NodeShare &share);

} // namespace chervilmount::node
