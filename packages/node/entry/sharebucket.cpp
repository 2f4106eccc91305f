#include "node/entry/sharebucket.h"

#include <algorithm>
#include <cstdint>

namespace chervilmount::node {

namespace {

// Covers the difference of clock rates between machines.
constexpr double RefillMargin = 0.001;

constexpr std::chrono::milliseconds LongestDelay{10000};

} // namespace

bool takeToken(ShareBucket &bucket, const NodeShare &share,
               std::chrono::steady_clock::time_point now)
{
    if (!bucket.m_used) {
        // A node that has just started must not add a burst of its own to that of its predecessor.
        bucket.m_used = true;
        bucket.m_level = share.m_rate > 0.0 ? 1.0 : 0.0;
        bucket.m_refilledAt = now;
    }
    const double seconds = std::chrono::duration<double>(now - bucket.m_refilledAt).count();
    bucket.m_level =
            std::min(share.m_cap, bucket.m_level + seconds * share.m_rate * (1.0 - RefillMargin));
    bucket.m_refilledAt = now;
    if (bucket.m_level < 1.0)
        return false;
    bucket.m_level -= 1.0;
    return true;
}

void returnToken(ShareBucket &bucket, const NodeShare &share)
{
    bucket.m_level = std::min(share.m_cap, bucket.m_level + 1.0);
}

std::chrono::milliseconds untilNextToken(const ShareBucket &bucket, const NodeShare &share)
{
    if (share.m_rate <= 0.0)
        return LongestDelay;
    const double seconds = std::max(0.0, 1.0 - bucket.m_level) / share.m_rate;
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000.0) + 1);
    return std::min(delay, LongestDelay);
}

} // namespace chervilmount::node
