#include "sharedstate/sharedstate.h"

#include <catch2/catch.hpp>

using namespace chervilmount;
using namespace chervilmount::sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RateShare sumOf(const std::map<std::string, RateShare> &shares)
{
    RateShare sum;
    for (const auto &[group, share] : shares) {
        sum.m_rate += share.m_rate;
        sum.m_cap += share.m_cap;
    }
    return sum;
}

} // namespace

// Guards against groups whose shares add up to more than the organisation's rate and burst, and
// against caps below 1 token, with which a bucket could never grant.
TEST_CASE("Shares are whole caps that add up to at most the rate and burst")
{
    std::vector<model::FailureDomain> domains;
    for (int domain = 0; domain < 10; ++domain)
        domains.push_back({std::to_string(domain), "region"});
    for (const double burst : {1.0, 5.0, 10.0, 37.5, 400.0, 10000.0}) {
        model::Organisation organisation;
        organisation.m_name = "org";
        organisation.m_rate = 100;
        organisation.m_burst = burst;
        const std::map<std::string, RateShare> shares = groupShares(organisation, domains);
        CHECK(sumOf(shares).m_cap <= burst);
        CHECK(sumOf(shares).m_cap > burst - 1);
        CHECK(sumOf(shares).m_rate == Approx(100));
        for (const auto &[group, share] : shares)
            CHECK(share.m_cap >= 1);
    }
}

// Guards against a raised share that takes effect while another group still uses its old share.
TEST_CASE("Lower shares take effect at once and higher ones after the delay")
{
    RateBucket bucket;
    const std::chrono::steady_clock::time_point start{seconds(100)};
    bucket.m_share = {10, 10};
    bucket.m_level = 10;
    bucket.m_refilled = start;
    changeShare(bucket, {5, 20}, start);
    CHECK(bucket.m_share == RateShare{5, 10});
    refill(bucket, start + RaiseDelay - milliseconds(1));
    CHECK(bucket.m_share == RateShare{5, 10});
    refill(bucket, start + RaiseDelay);
    CHECK(bucket.m_share == RateShare{5, 20});
}
