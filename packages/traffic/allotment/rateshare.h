#pragma once

#include "traffic/allotment/rateholders.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::traffic {

/** Settings of the distributed rate limit. */
struct RateShareSettings
{
    /** A node requests tokens when its bucket covers less than this period of its demand. Several
     * round trips between regions; what is prefetched adds to the burst. */
    std::chrono::milliseconds m_prefetchPeriod{500};
    /** Nodes that run short request tokens from others. */
    bool m_transfersTokens = true;
    /** Minimum interval between token requests for one organisation. */
    std::chrono::milliseconds m_requestInterval{50};
    /** Minimum interval while the bucket is empty. */
    std::chrono::milliseconds m_urgentRequestInterval{10};
    /** Fraction of its spare tokens that a node grants in response to one token request. */
    double m_grantedShare = 0.7;
    /** Fraction by which rate and burst may be exceeded. It compensates for tokens that are unused
     * at one node while another node has none. */
    double m_rateTolerance = 0.0;
    /** Number of requests by which the burst may be exceeded, summed over all nodes. */
    double m_burstTolerance = 0.0;
    /** Minimum burst of each node that holds a bucket, in requests. */
    double m_minimumHolderBurst = 4.0;
    /** Maximum time that a request waits for a token. */
    std::chrono::milliseconds m_longestWait{200};
    /** Demand in requests per second at which a node that is not a holder starts to prefetch
     * tokens. */
    double m_prefetchDemand = 4.0;
};

/** Token bucket of one organisation at one node. */
struct RateShare
{
    double m_rate = 0.0;
    double m_burst = 0.0;
    /** Fraction of rate and burst assigned to this node; 0 if it is not a holder, or until the set
     * of nodes is known. */
    double m_part = 0.0;
    /** Other nodes that hold a bucket. */
    std::vector<std::string> m_holders;
    /** Tokens of the node's own bucket, at most its share of the burst. */
    double m_tokens = 0.0;
    /** Tokens that other nodes have granted, until they expire. */
    double m_received = 0.0;
    /** Requests per second received from callers, as a moving average over about one second. */
    double m_demand = 0.0;
    std::chrono::steady_clock::time_point m_refilledAt;
    /** Time of the last token grant from another node. */
    std::chrono::steady_clock::time_point m_receivedAt;
    std::chrono::steady_clock::time_point m_nextRequest;
    std::chrono::steady_clock::time_point m_nextUrgentRequest;
};

/**
 * Distributed token buckets that enforce the fleet-wide rate limit of each organisation without a
 * central counter. Each of the H holders has a bucket with 1/H of rate and burst; nodes that run
 * short request tokens from the holders. H is the number of nodes, or less where a node's share of
 * the burst would be too small to admit single requests. The granting node subtracts tokens before
 * the receiving node adds them, so that a lost message loses tokens but never creates any. For
 * every window w, requests admitted by all nodes <= burst + rate * w + received, as long as the
 * nodes' shares add up to at most 1 (see RateView). The last term is granted tokens; what a node's
 * own bucket has no room for expires half a second after it last received a grant, and it requests
 * no more than half a second of its demand.
 */
struct RateShares
{
    RateShareSettings m_settings;
    std::string m_self;
    /** Nodes among which the rates are divided. */
    std::vector<RateSharer> m_sharers;
    /** Fraction of its even share that this node takes. */
    double m_fraction = 1.0;
    std::unordered_map<std::string, RateShare> m_organisations;
};

/** The token that a request has taken. */
struct TakenToken
{
    /** Part of it that another node had granted; the rest is from the node's own bucket. */
    double m_received = 0.0;
    /** When the granted part expires. */
    std::chrono::steady_clock::time_point m_expiresAt;
};

/** Sets the nodes among which the rates are divided. Before the first call there are no tokens: if
 * a node assumed the whole rate until it knows the other nodes, the limit would be exceeded. A node
 * that is not among them has no bucket and requests all its tokens from the others.
 * @param fraction fraction of its even share that this node takes, 0 to 1.
 * @see RateView */
void setSharers(RateShares &shares, const std::string &self, std::vector<RateSharer> sharers,
                std::chrono::steady_clock::time_point now, double fraction = 1.0);

/** Sets an organisation's rate and burst. A new organisation starts without tokens. */
void setRate(RateShares &shares, const std::string &organisation, double rate, double burst,
             std::chrono::steady_clock::time_point now);

/** Counts a request in the demand, whether it is admitted or not; called once per request. */
void recordArrival(RateShares &shares, const std::string &organisation,
                   std::chrono::steady_clock::time_point now);

/**
 * Takes one token for a request.
 * @returns nothing if the organisation's bucket at this node is empty.
 */
std::optional<TakenToken> takeToken(RateShares &shares, const std::string &organisation,
                                    std::chrono::steady_clock::time_point now);

/** Puts back the token of a request that has not run and will not, as if it had not been taken: a
 * bucket that has been refilled meanwhile gains nothing. */
void returnToken(RateShares &shares, const std::string &organisation, const TakenToken &token,
                 std::chrono::steady_clock::time_point now);

/**
 * @param requestWaits whether a request is waiting for a token.
 * @returns the number of tokens to request from another node now; 0 if there are enough, or if the
 * minimum interval since the last token request has not passed.
 */
double tokensToAsk(RateShares &shares, const std::string &organisation, bool requestWaits,
                   std::chrono::steady_clock::time_point now);

/**
 * Decides whether a request without a token waits for one. It does unless more requests of the
 * organisation wait here than twice this node's even share of the tokens of the longest wait: an
 * organisation that sends several times its rate is refused at once instead.
 * @param waiting requests of the organisation that already wait at this node.
 */
bool mayWaitForToken(const RateShares &shares, const std::string &organisation,
                     std::size_t waiting);

/** @returns the other nodes that hold a bucket of the organisation. */
const std::vector<std::string> &rateHolders(const RateShares &shares,
                                            const std::string &organisation);

/** Handles a token request of another node. @returns the whole tokens granted; they are subtracted
 * from this node's bucket. */
double giveTokens(RateShares &shares, const std::string &organisation, double wanted,
                  std::chrono::steady_clock::time_point now);

/** Adds tokens granted by another node. */
void addTokens(RateShares &shares, const std::string &organisation, double tokens,
               std::chrono::steady_clock::time_point now);

/** @returns the time until a holder's own refill yields a whole token, at most 10 s. */
std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation);

} // namespace chervilmount::traffic
