#pragma once

#include "sharedstate/rates/grant.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilmount::sharedstate {

/** The part of an organisation's rate and burst that one group has. */
struct RateShare
{
    /** Tokens a second. */
    double m_rate = 0.0;
    /** Upper limit of level and outstanding tokens together. */
    double m_cap = 0.0;

    bool operator==(const RateShare &) const = default;
};

/** Refill stays below the rate by this fraction, because clock rates differ by up to 0.05 %. */
constexpr double RefillMargin = 0.001;

/** Share of a grant's lifetime that its issuer waits longer than its receiver uses it. */
constexpr double GrantExpiryMargin = 0.01;

/**
 * A raised share is used this long after it was learned. By then every node with a freshness proof
 * has the configuration that lowered the shares of other groups, and their grants have expired.
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

/** Token bucket of one organisation in one group; level + outstanding <= cap at every moment. */
struct RateBucket
{
    RateShare m_share;
    double m_level = 0.0;
    std::uint32_t m_outstanding = 0;
    std::chrono::steady_clock::time_point m_refilled;
    /** By number of the grant. */
    std::map<std::uint64_t, OutstandingGrant> m_grants;
    /** A raised share that is not used yet. */
    std::optional<RateShare> m_pendingShare;
    std::chrono::steady_clock::time_point m_pendingShareFrom;
};

/** Takes a new share: lower limits at once, higher ones after RaiseDelay. */
void changeShare(RateBucket &bucket, const RateShare &share,
                 std::chrono::steady_clock::time_point now);

/** Adds the tokens of the time since the last call and frees the room of expired grants. */
void refill(RateBucket &bucket, std::chrono::steady_clock::time_point now,
            const RateFaults &faults = {});

/**
 * Takes up to the wanted number of tokens out of the level.
 * @param number of the grant; unused before.
 * @returns the tokens granted.
 */
std::uint32_t issueGrant(RateBucket &bucket, std::uint64_t number, std::uint32_t wanted,
                         std::chrono::milliseconds lifetime,
                         std::chrono::steady_clock::time_point now, const RateFaults &faults = {});

/** Takes note of spent and returned tokens. Reports of expired grants are ignored. */
void applyReport(RateBucket &bucket, const GrantReport &report,
                 std::chrono::steady_clock::time_point now, const RateFaults &faults = {});

} // namespace chervilmount::sharedstate
