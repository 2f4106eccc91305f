#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Granted tokens expire this long after the request for the grant was sent. */
constexpr std::chrono::milliseconds GrantLifetime{1000};

/** Cumulative use of a grant. Both counts only grow, so repeated reports are harmless. */
struct GrantReport
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_grant = 0;
    std::uint32_t m_spent = 0;
    std::uint32_t m_returned = 0;
};

/** Sent to a group's holder by an entry node, or by the holder of another group that borrows. */
struct GrantRequest
{
    std::string m_organisation;
    /** Lease name of the group that receives the request. */
    std::string m_group;
    /** Requesting node. */
    std::string m_from;
    /** Group on whose behalf a holder borrows; empty for an entry node. */
    std::string m_borrower;
    std::uint64_t m_request = 0;
    /** Number of tokens requested; 0 if the message only carries reports. */
    std::uint32_t m_tokens = 0;
    /** Arrival rate at the entry node for this organisation, in requests per second. */
    double m_demand = 0.0;
    std::vector<GrantReport> m_reports;
};

/** Reply of a group's holder to the requesting node. */
struct Grant
{
    std::string m_organisation;
    std::string m_group;
    std::string m_to;
    std::string m_borrower;
    std::uint64_t m_request = 0;
    /** Epoch of the group's lease. */
    std::uint64_t m_epoch = 0;
    /** Unique within the epoch; 0 if no tokens are granted. */
    std::uint64_t m_grant = 0;
    std::uint32_t m_tokens = 0;
    /** Counted by the receiver from the time before it sent the request. */
    std::chrono::milliseconds m_lifetime{0};
};

/** Faults that tests inject to verify that the checkers detect them; never set in production. */
struct RateFaults
{
    /** A new holder grants without waiting for the previous holder's grants to expire. */
    bool m_grantBeforeExpiry = false;
    /** Tokens of a grant return to the bucket before the grant expires. */
    bool m_reissueEarly = false;
    /** The entry counts the lifetime from the receipt of the grant. */
    bool m_lifetimeFromReceipt = false;
    /** Outstanding tokens do not count against the cap. */
    bool m_ignoreOutstanding = false;
};

} // namespace chervilmount::sharedstate
