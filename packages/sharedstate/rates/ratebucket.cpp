#include "sharedstate/rates/ratebucket.h"

#include <algorithm>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Seconds = std::chrono::duration<double>;

/** @returns the highest level that the cap allows, given the outstanding tokens. */
double room(const RateBucket &bucket, const RateFaults &faults)
{
    const double outstanding = faults.m_ignoreOutstanding ? 0.0 : bucket.m_outstanding;
    return std::max(0.0, bucket.m_share.m_cap - outstanding);
}

} // namespace

void changeShare(RateBucket &bucket, const RateShare &share, TimePoint now)
{
    refill(bucket, now);
    bucket.m_share.m_rate = std::min(bucket.m_share.m_rate, share.m_rate);
    bucket.m_share.m_cap = std::min(bucket.m_share.m_cap, share.m_cap);
    bucket.m_level = std::min(bucket.m_level, room(bucket, {}));
    bucket.m_pendingShare.reset();
    if (share == bucket.m_share)
        return;
    bucket.m_pendingShare = share;
    bucket.m_pendingShareFrom = now + RaiseDelay;
}

void refill(RateBucket &bucket, TimePoint now, const RateFaults &faults)
{
    if (now > bucket.m_refilled) {
        const double seconds = Seconds(now - bucket.m_refilled).count();
        const double added = bucket.m_share.m_rate * (1 - RefillMargin) * seconds;
        bucket.m_level = std::min(room(bucket, faults), bucket.m_level + added);
        bucket.m_refilled = now;
    }
    std::erase_if(bucket.m_grants, [&bucket, now, &faults](const auto &entry) {
        const OutstandingGrant &grant = entry.second;
        if (now < grant.m_expires)
            return false;
        const std::uint32_t left = grant.m_tokens - grant.m_spent - grant.m_returned;
        bucket.m_outstanding -= left;
        if (faults.m_reissueEarly)
            bucket.m_level += left;
        return true;
    });
    if (bucket.m_pendingShare && now >= bucket.m_pendingShareFrom) {
        bucket.m_share = *bucket.m_pendingShare;
        bucket.m_pendingShare.reset();
    }
}

std::uint32_t issueGrant(RateBucket &bucket, std::uint64_t number, std::uint32_t wanted,
                         std::chrono::milliseconds lifetime, TimePoint now,
                         const RateFaults &faults)
{
    refill(bucket, now, faults);
    const std::uint32_t tokens = std::min(wanted, static_cast<std::uint32_t>(bucket.m_level));
    if (tokens == 0)
        return 0;
    bucket.m_level -= tokens;
    bucket.m_outstanding += tokens;
    const double factor = faults.m_reissueEarly ? 0.2 : 1 + GrantExpiryMargin;
    const auto kept = std::chrono::duration_cast<TimePoint::duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(lifetime.count())
                                                      * factor));
    bucket.m_grants[number] = {tokens, 0, 0, now + kept};
    return tokens;
}

void applyReport(RateBucket &bucket, const GrantReport &report, TimePoint now,
                 const RateFaults &faults)
{
    refill(bucket, now, faults);
    const std::map<std::uint64_t, OutstandingGrant>::iterator found =
            bucket.m_grants.find(report.m_grant);
    if (found == bucket.m_grants.end())
        return;
    OutstandingGrant &grant = found->second;
    const std::uint32_t left = grant.m_tokens - grant.m_spent - grant.m_returned;
    const std::uint32_t spent =
            std::min(left, std::max(grant.m_spent, report.m_spent) - grant.m_spent);
    const std::uint32_t returned = std::min(
            left - spent, std::max(grant.m_returned, report.m_returned) - grant.m_returned);
    grant.m_spent += spent;
    grant.m_returned += returned;
    bucket.m_outstanding -= spent + returned;
    bucket.m_level = std::min(room(bucket, faults), bucket.m_level + returned);
}

} // namespace chervilmount::sharedstate
