#pragma once

#include "traffic/allotment/rateholders.h"

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::traffic {

/** Settings of the division of an organisation's rate over the nodes. */
struct RateShareSettings
{
    /** A node asks for tokens when fewer than this many seconds of its demand are left. */
    std::chrono::milliseconds m_askAhead{1000};
    /** Shortest time between two requests for tokens of one organisation. */
    std::chrono::milliseconds m_askInterval{50};
    /** The same while the organisation has no token here and requests wait. */
    std::chrono::milliseconds m_urgentAskInterval{10};
    /** Part of its tokens beyond its own need that a node gives away at once. */
    double m_givenShare = 0.7;
    /** Part by which rate and burst may be exceeded. It makes up for tokens that lie unused at one
     * node while another one has none. */
    double m_rateTolerance = 0.0;
    /** Requests by which the burst may be exceeded, over all nodes. */
    double m_burstTolerance = 0.0;
    /** Part of the burst that each node with tokens of its own has at least, in requests. */
    double m_leastTokens = 4.0;
    /** Requests a second from which a node without tokens of its own asks ahead of need. */
    double m_askAheadDemand = 4.0;
};

/** One organisation's tokens at one node. */
struct RateShare
{
    double m_rate = 0.0;
    double m_burst = 0.0;
    /** Part of rate and burst that is this node's own; 0 if other nodes hold the tokens, or until
     * it is known who shares the rates. */
    double m_part = 0.0;
    /** Other nodes that hold tokens. */
    std::vector<std::string> m_holders;
    double m_tokens = 0.0;
    /** Requests a second that callers sent here, averaged over about a second. */
    double m_demand = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
    /** When tokens last came from another node. */
    std::chrono::steady_clock::time_point m_receivedAt;
    std::chrono::steady_clock::time_point m_nextAsk;
    std::chrono::steady_clock::time_point m_nextUrgentAsk;
};

/**
 * Divides the fleet-wide rate of each organisation without a central counter: each of the H nodes
 * that hold its tokens has a bucket with 1/H of rate and burst, and nodes short of tokens get some
 * from these. H is the number of nodes, or less where a node's part of the burst would be too
 * small to admit single requests. Tokens are subtracted where they are given before they are added
 * where they arrive, so that a lost message loses tokens and never makes any. For every window w,
 * requests admitted by all nodes <= burst + rate * w + received, as long as the nodes agree about
 * who runs. The last term are tokens above a node's own part of the burst; they expire one
 * second after the node last got some, and it asks for no more than one second of its demand.
 */
struct RateShares
{
    RateShareSettings m_settings;
    std::string m_self;
    /** Nodes that share the rates, including this one. */
    std::vector<RateSharer> m_sharers;
    std::unordered_map<std::string, RateShare> m_organisations;
};

/** Sets the nodes that share the rates, including this one. Before the first call there are no
 * tokens: a node that takes the whole rate for itself until it knows of the others would exceed it.
 */
void setSharers(RateShares &shares, const std::string &self, std::vector<RateSharer> sharers,
                std::chrono::steady_clock::time_point now);

/** Sets an organisation's rate and burst. A new organisation starts without tokens. */
void setRate(RateShares &shares, const std::string &organisation, double rate, double burst,
             std::chrono::steady_clock::time_point now);

/** Counts a request in the demand, once, whether it is admitted or not. */
void recordArrival(RateShares &shares, const std::string &organisation,
                   std::chrono::steady_clock::time_point now);

/**
 * Charges one request.
 * @returns false if the organisation has no token here; the request is then refused.
 */
bool takeToken(RateShares &shares, const std::string &organisation,
               std::chrono::steady_clock::time_point now);

/** Returns the token of a request that was refused as not run. */
void returnToken(RateShares &shares, const std::string &organisation);

/**
 * @param requestWaits whether a request waits for a token.
 * @returns how many tokens to ask another node for now; 0 if there are enough, or if the last
 * request was sent too recently.
 */
double tokensToAsk(RateShares &shares, const std::string &organisation, bool requestWaits,
                   std::chrono::steady_clock::time_point now);

/** @returns the other nodes that may have tokens of the organisation. */
const std::vector<std::string> &rateHolders(const RateShares &shares,
                                            const std::string &organisation);

/** Answers another node's request. @returns the whole tokens given, which are subtracted here. */
double giveTokens(RateShares &shares, const std::string &organisation, double wanted,
                  std::chrono::steady_clock::time_point now);

/** Adds tokens that another node gave. */
void addTokens(RateShares &shares, const std::string &organisation, double tokens,
               std::chrono::steady_clock::time_point now);

/** @returns the time until a node's own refill has a whole token again. */
std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation);

} // namespace chervilmount::traffic
