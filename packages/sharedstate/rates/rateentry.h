#pragma once

#include "sharedstate/rates/grant.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** A grant at an entry node. */
struct EntryGrant
{
    std::string m_group;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_grant = 0;
    std::uint32_t m_left = 0;
    std::uint32_t m_spent = 0;
    /** Spent tokens already reported; their charges can no longer be credited. */
    std::uint32_t m_reportedSpent = 0;
    std::uint32_t m_returned = 0;
    /** Something was spent or returned since the last report. */
    bool m_changed = false;
    std::chrono::steady_clock::time_point m_expires;
};

/** A request waiting for tokens. */
struct WaitingCall
{
    std::uint64_t m_call = 0;
    std::chrono::steady_clock::time_point m_until;
};

/** State of one organisation at an entry node. */
struct EntryOrganisation
{
    /** Set by the node from the configuration: lease names of the groups in its domain. */
    std::vector<std::string> m_groups;
    std::size_t m_nextGroup = 0;
    std::vector<EntryGrant> m_grants;
    std::deque<WaitingCall> m_waiting;
    /** Moving average of the arrival rate, in requests per second. */
    double m_demand = 0.0;
    std::uint32_t m_arrived = 0;
    std::chrono::steady_clock::time_point m_windowStart;
    std::chrono::steady_clock::time_point m_nextRequest;
    std::chrono::steady_clock::time_point m_lastReport;
    /** When each open request was sent. */
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_requests;
};

/** Rate limiting state of one entry node. */
struct RateEntryState
{
    std::string m_self;
    std::uint64_t m_nextRequest = 1;
    std::map<std::string, EntryOrganisation> m_organisations;
};

/** The grant that a request was charged to; kept with the request so that it can be credited. */
struct Charge
{
    std::uint64_t m_call = 0;
    std::string m_organisation;
    std::string m_group;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_grant = 0;
};

struct RateEntryEffects
{
    std::vector<Charge> m_admitted;
    /** Calls to refuse as not run; the organisation exceeds its rate. */
    std::vector<std::uint64_t> m_refused;
    /** Each goes to the holder of its m_group. */
    std::vector<GrantRequest> m_requests;
};

/** Charges a request to a grant, at once or when a grant arrives. */
RateEntryEffects requestArrived(RateEntryState &state, std::uint64_t call,
                                const std::string &organisation,
                                std::chrono::steady_clock::time_point now);

/** Adds a received grant and admits waiting requests. */
RateEntryEffects grantReceived(RateEntryState &state, const Grant &grant,
                               std::chrono::steady_clock::time_point now,
                               const RateFaults &faults = {});

/**
 * Credits a request that was refused as not run after its charge. A charge that was reported as
 * spent, or whose grant has expired, is not credited: its token may have been refilled already.
 */
void creditCharge(RateEntryState &state, const Charge &charge,
                  std::chrono::steady_clock::time_point now);

/**
 * Refuses requests that waited too long, requests tokens ahead of demand, and reports the use of
 * grants. To be called every 10 to 50 ms.
 */
RateEntryEffects rateEntryTick(RateEntryState &state, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::sharedstate
