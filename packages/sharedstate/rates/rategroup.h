#pragma once

#include "sharedstate/rates/grant.h"
#include "sharedstate/rates/ratebucket.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Tokens that a group has borrowed from another one. */
struct BorrowedGrant
{
    std::string m_lender;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_grant = 0;
    std::uint32_t m_left = 0;
    std::uint32_t m_spent = 0;
    std::uint32_t m_returned = 0;
    /** Something was spent or returned since the last report to the lender. */
    bool m_changed = false;
    std::chrono::steady_clock::time_point m_expires;
};

/** A grant that was made from a borrowed one. */
struct SubGrant
{
    /** Key of the borrowed grant. */
    std::uint64_t m_borrowed = 0;
    OutstandingGrant m_use;
};

/** Another group of the same organisation, as a lender. */
struct LenderGroup
{
    std::string m_group;
    /** Tokens in its last reply. */
    std::uint32_t m_lastGranted = 0;
};

/** Demand reported by an entry node, in requests per second. */
struct EntryDemand
{
    double m_rate = 0.0;
    std::chrono::steady_clock::time_point m_reported;
};

/** An organisation's bucket at the holder of one group. */
struct GroupOrganisation
{
    RateBucket m_bucket;
    std::map<std::uint64_t, BorrowedGrant> m_borrowed;
    std::map<std::uint64_t, SubGrant> m_subGrants;
    /** Set by the node from the configuration: the other groups, those of the own domain first. */
    std::vector<LenderGroup> m_lenders;
    /** Last reported demand of each entry node. */
    std::map<std::string, EntryDemand> m_demands;
    std::chrono::steady_clock::time_point m_nextBorrow;
    /** When each open borrow request was sent. */
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_requests;
};

/** The buckets of one group at the node that holds its lease. */
struct RateGroupState
{
    /** Lease name. */
    std::string m_group;
    std::string m_self;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextNumber = 1;
    /** No grant is made before this time. */
    std::chrono::steady_clock::time_point m_usableFrom;
    std::map<std::string, GroupOrganisation> m_organisations;
};

struct RateGroupEffects
{
    std::vector<Grant> m_grants;
    /** Borrow requests; each goes to the holder of its m_group. */
    std::vector<GrantRequest> m_requests;
};

/** Share and lenders of one organisation in a group, from the configuration. */
struct GroupPlan
{
    RateShare m_share;
    std::vector<std::string> m_lenders;
};

/**
 * Starts the group in a new epoch with empty buckets. No grant is issued until the grants of the
 * previous holder have expired.
 */
void startEpoch(RateGroupState &state, std::uint64_t epoch,
                const std::map<std::string, GroupPlan> &plans,
                std::chrono::steady_clock::time_point now, const RateFaults &faults = {});

/** Applies a new configuration within an epoch. */
void changePlans(RateGroupState &state, const std::map<std::string, GroupPlan> &plans,
                 std::chrono::steady_clock::time_point now);

/**
 * Answers a request for tokens. Precondition: the caller has just checked that the node holds the
 * right of the group's lease. @see holdsRight
 */
RateGroupEffects grantRequested(RateGroupState &state, const GrantRequest &request,
                                std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                                const RateFaults &faults = {});

/** Adds a grant received from a lender. */
void borrowedGrantReceived(RateGroupState &state, const Grant &grant,
                           std::chrono::steady_clock::time_point now);

/** Borrows ahead of demand and reports on borrowed grants; to be called every 50 ms. */
RateGroupEffects rateGroupTick(RateGroupState &state, std::chrono::steady_clock::time_point now,
                               std::mt19937_64 &random, const RateFaults &faults = {});

} // namespace chervilmount::sharedstate
