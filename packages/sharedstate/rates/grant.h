#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Rights end this long after the request for a grant was sent. */
constexpr std::chrono::milliseconds GrantLifetime{1000};

/** What became of a grant so far; both numbers only grow, so repeated reports do no harm. */
struct GrantReport
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_grant = 0;
    std::uint32_t m_spent = 0;
    std::uint32_t m_returned = 0;
};

/** From an entry node, or from the holder of another group that borrows, to a group's holder. */
struct GrantRequest
{
    std::string m_organisation;
    /** Lease name of the group that is asked. */
    std::string m_group;
    /** Node that asks. */
    std::string m_from;
    /** Group on whose behalf a holder borrows; empty for an entry node. */
    std::string m_borrower;
    std::uint64_t m_request = 0;
    /** Tokens wanted; 0 only reports. */
    std::uint32_t m_tokens = 0;
    /** Requests a second that arrive at the entry node for this organisation. */
    double m_demand = 0.0;
    std::vector<GrantReport> m_reports;
};

/** From a group's holder to the node that asked. */
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

/** Breaks one rule each; set by tests only, to show that the checkers find it. */
struct RateFaults
{
    /** A new holder grants without waiting for the grants of the holder before it to expire. */
    bool m_grantBeforeExpiry = false;
    /** Tokens of a grant go back to the level before the grant expires. */
    bool m_reissueEarly = false;
    /** The entry counts the lifetime from the receipt of the grant. */
    bool m_lifetimeFromReceipt = false;
    /** Outstanding tokens do not count against the cap. */
    bool m_ignoreOutstanding = false;
};

} // namespace chervilmount::sharedstate
