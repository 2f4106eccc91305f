#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

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
};

/** One organisation's tokens at one node. */
struct RateShare
{
    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_tokens = 0.0;
    /** Requests a second that callers sent here, averaged over about a second. */
    double m_demand = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
    std::chrono::steady_clock::time_point m_nextAsk;
    std::chrono::steady_clock::time_point m_nextUrgentAsk;
};

/**
 * Divides the fleet-wide rate of each organisation without a central counter: each of the N nodes
 * holds a bucket with 1/N of rate and burst, and nodes short of tokens get some from others. Tokens
 * are subtracted where they are given before they are added where they arrive, so that a lost
 * message loses tokens and never makes any. For every window w, requests admitted by all nodes
 * <= burst + rate * w + received, as long as N counts every node that runs. The last term are
 * tokens above a node's own part of the burst; they expire with a time constant of one second, and
 * a node asks for no more than one second of its demand.
 */
struct RateShares
{
    RateShareSettings m_settings;
    /** Nodes that share the rates, including this one. */
    double m_nodes = 1.0;
    std::unordered_map<std::string, RateShare> m_organisations;
};

/** Sets an organisation's rate and burst. A new organisation starts without tokens. */
void setRate(RateShares &shares, const std::string &organisation, double rate, double burst,
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
 * @returns how many tokens to ask another node for now; 0 if there are enough, or if the last
 * request was sent too recently.
 */
double tokensToAsk(RateShares &shares, const std::string &organisation,
                   std::chrono::steady_clock::time_point now);

/** Answers another node's request. @returns the tokens given, which are subtracted here. */
double giveTokens(RateShares &shares, const std::string &organisation, double wanted,
                  std::chrono::steady_clock::time_point now);

/** Adds tokens that another node gave. */
void addTokens(RateShares &shares, const std::string &organisation, double tokens);

/** @returns the time until the node's own refill has a whole token again. */
std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation);

} // namespace chervilmount::traffic
