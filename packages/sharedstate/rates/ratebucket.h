#pragma once

#include "sharedstate/rates/grant.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilmount::sharedstate {

/** One group's share of an organisation's rate and burst. */
struct RateShare
{
    /** Tokens per second. */
    double m_rate = 0.0;
    /** Upper limit of the sum of level and outstanding tokens. */
    double m_cap = 0.0;

    bool operator==(const RateShare &) const = default;
};

/** Fraction by which the refill stays below the rate; clock rates differ by up to 0.05 %. */
constexpr double RefillMargin = 0.001;

/** Fraction of a grant's lifetime for which the issuer waits beyond its expiry at the receiver. */
constexpr double GrantExpiryMargin = 0.01;

/**
 * Delay before a raised share takes effect. By then every node with a freshness proof has the
 * configuration that lowered the shares of other groups, and their grants have expired.
 */
constexpr std::chrono::milliseconds RaiseDelay{5000};

/** A grant that may still be used by its receiver. */
struct OutstandingGrant
{
    std::uint32_t m_tokens = 0;
    std::uint32_t m_spent = 0;
    std::uint32_t m_returned = 0;
    std::chrono::steady_clock::time_point m_expires;
};

/** Token bucket of one organisation in one group. Invariant: level + outstanding <= cap. */
struct RateBucket
{
    RateShare m_share;
    double m_level = 0.0;
    std::uint32_t m_outstanding = 0;
    std::chrono::steady_clock::time_point m_refilled;
    /** Grants by their number. */
    std::map<std::uint64_t, OutstandingGrant> m_grants;
    /** A raised share that has not taken effect yet. */
    std::optional<RateShare> m_pendingShare;
    std::chrono::steady_clock::time_point m_pendingShareFrom;
};

/** Changes the share: lower limits apply at once, higher ones after RaiseDelay. */
void changeShare(RateBucket &bucket, const RateShare &share,
                 std::chrono::steady_clock::time_point now);

/** Adds the tokens accrued since the last call and releases the tokens of expired grants. */
void refill(RateBucket &bucket, std::chrono::steady_clock::time_point now,
            const RateFaults &faults = {});

/**
 * Issues a grant of up to the wanted number of tokens.
 * @param number number of the grant; must not have been used before.
 * @returns the tokens granted.
 */
std::uint32_t issueGrant(RateBucket &bucket, std::uint64_t number, std::uint32_t wanted,
                         std::chrono::milliseconds lifetime,
                         std::chrono::steady_clock::time_point now, const RateFaults &faults = {});

/** Applies a report of spent and returned tokens. Reports on expired grants are ignored. */
void applyReport(RateBucket &bucket, const GrantReport &report,
                 std::chrono::steady_clock::time_point now, const RateFaults &faults = {});

} // namespace chervilmount::sharedstate
