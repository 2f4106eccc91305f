#include "node/entry/sharebucket.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <vector>

using namespace chervilmount::node;

// Guards against a fleet-wide rate that is exceeded by nodes that each admit their part.
TEST_CASE("Nodes with split shares together stay within rate and burst in every window")
{
    constexpr int Nodes = 8;
    constexpr double Rate = 60.0;
    constexpr double Burst = 40.0;
    const NodeShare share{Rate / Nodes, Burst / Nodes};
    std::vector<ShareBucket> buckets(Nodes);
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::vector<int> admitted;
    for (int step = 0; step < 1000; ++step) {
        int count = 0;
        // Idle in the middle, so that the buckets fill up to their caps.
        const bool idle = step >= 300 && step < 600;
        for (ShareBucket &bucket : buckets) {
            while (!idle && takeToken(bucket, share, now))
                ++count;
        }
        admitted.push_back(count);
        now += std::chrono::milliseconds(10);
    }
    for (std::size_t begin = 0; begin < admitted.size(); ++begin) {
        int sum = 0;
        for (std::size_t end = begin; end < admitted.size(); ++end) {
            sum += admitted[end];
            const double seconds = static_cast<double>(end - begin + 1) * 0.01;
            REQUIRE(sum <= Burst + Rate * seconds);
        }
    }
    CHECK(std::accumulate(admitted.begin(), admitted.end(), 0) > 0.95 * Rate * 7.0);
}

// Guards against tokens that a domain without a share makes, and credits beyond the cap.
TEST_CASE("A share of zero admits nothing and credits stay within the cap")
{
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    ShareBucket empty;
    CHECK_FALSE(takeToken(empty, {0.0, 1.0}, now));
    CHECK_FALSE(takeToken(empty, {0.0, 1.0}, now + std::chrono::hours(1)));
    ShareBucket bucket;
    const NodeShare share{10.0, 2.0};
    CHECK(takeToken(bucket, share, now));
    for (int index = 0; index < 5; ++index)
        returnToken(bucket, share);
    CHECK(bucket.m_level == 2.0);
}
