#include "traffic/allotment/rateshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time constant of the moving average of the demand. */
constexpr double DemandSeconds = 1.0;
/** Time after the last grant at which unused granted tokens expire. The nodes that granted them
 * refill their buckets meanwhile. */
constexpr std::chrono::milliseconds ReceivedLifetime{500};
constexpr std::chrono::milliseconds MaximumWait{10000};

/** @returns the capacity of the node's own bucket. */
double capacityOf(const RateShare &share)
{
    return share.m_part > 0 ? std::max(1.0, share.m_burst * share.m_part) : 0.0;
}

/** @returns all tokens at the node, of its own bucket and granted. */
double tokensOf(const RateShare &share)
{
    return share.m_tokens + share.m_received;
}

/** Adds tokens to the node's own bucket, up to its capacity. */
void addToBucket(RateShare &share, double tokens)
{
    share.m_tokens = std::min(capacityOf(share), share.m_tokens + tokens);
}

/** Subtracts tokens, granted ones first since they expire. @returns how many were granted ones. */
double subtract(RateShare &share, double tokens)
{
    const double received = std::min(tokens, share.m_received);
    share.m_received -= received;
    share.m_tokens = std::max(0.0, share.m_tokens - (tokens - received));
    return received;
}

void refill(RateShare &share, std::chrono::steady_clock::time_point now)
{
    // Time stamps may go backwards; an interval must not be counted twice.
    if (now <= share.m_refilledAt)
        return;
    const double elapsed = Seconds(now - share.m_refilledAt).count();
    share.m_refilledAt = now;
    share.m_demand *= std::exp(-elapsed / DemandSeconds);
    // Granted tokens take up room of the own bucket. If it were refilled beside them, a node that
    // uses granted tokens first could admit its whole burst on top of them.
    const double room = std::max(0.0, capacityOf(share) - tokensOf(share));
    addToBucket(share, std::min(room, elapsed * share.m_rate * share.m_part));
    // The buckets of the nodes that granted tokens have been refilled since; if the tokens were
    // kept beside the node's own bucket they would add to the burst.
    if (now - share.m_receivedAt > ReceivedLifetime)
        addToBucket(share, std::exchange(share.m_received, 0.0));
}

RateShare *limitedShare(RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    return found == shares.m_organisations.end() || found->second.m_rate <= 0 ? nullptr
                                                                              : &found->second;
}

void assignHolders(const RateShares &shares, const std::string &organisation, RateShare &share)
{
    share.m_part = 0.0;
    share.m_holders.clear();
    if (shares.m_sharers.empty() || share.m_rate <= 0)
        return;
    share.m_holders = chooseRateHolders(shares.m_sharers, organisation, share.m_burst,
                                        shares.m_settings.m_minimumHolderBurst);
    const auto holders = static_cast<double>(share.m_holders.size());
    const bool holds = std::erase(share.m_holders, shares.m_self) > 0;
    // Of a few holders, one that has to give way may not know it yet; it then holds a whole part.
    const bool allHold = share.m_holders.size() + 1 == shares.m_sharers.size();
    const bool takesPart = holds && (allHold || shares.m_fraction >= 1.0);
    share.m_part = takesPart ? shares.m_fraction / holders : 0.0;
}

} // namespace

void setSharers(RateShares &shares, const std::string &self, std::vector<RateSharer> sharers,
                std::chrono::steady_clock::time_point now, double fraction)
{
    if (shares.m_self == self && shares.m_sharers == sharers && shares.m_fraction == fraction)
        return;
    shares.m_self = self;
    shares.m_fraction = fraction;
    shares.m_sharers = std::move(sharers);
    for (auto &[organisation, share] : shares.m_organisations) {
        refill(share, now);
        assignHolders(shares, organisation, share);
    }
}

void setRate(RateShares &shares, const std::string &organisation, double rate, double burst,
             std::chrono::steady_clock::time_point now)
{
    if (rate > 0) {
        rate *= 1.0 + shares.m_settings.m_rateTolerance;
        burst = burst * (1.0 + shares.m_settings.m_rateTolerance)
                + shares.m_settings.m_burstTolerance;
    }
    const auto [entry, isNew] = shares.m_organisations.try_emplace(organisation);
    RateShare &share = entry->second;
    if (isNew)
        share.m_refilledAt = now;
    else
        refill(share, now);
    if (burst < share.m_burst && share.m_burst > 0) {
        share.m_tokens *= burst / share.m_burst;
        share.m_received *= burst / share.m_burst;
    }
    share.m_rate = rate;
    share.m_burst = burst;
    assignHolders(shares, organisation, share);
}

void recordArrival(RateShares &shares, const std::string &organisation,
                   std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return;
    refill(*share, now);
    share->m_demand += 1.0 / DemandSeconds;
}

std::optional<TakenToken> takeToken(RateShares &shares, const std::string &organisation,
                                    std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return TakenToken{};
    refill(*share, now);
    if (tokensOf(*share) < 1.0)
        return std::nullopt;
    return TakenToken{subtract(*share, 1.0), share->m_receivedAt + ReceivedLifetime};
}

void returnToken(RateShares &shares, const std::string &organisation, const TakenToken &token,
                 std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return;
    refill(*share, now);
    const double received = now <= token.m_expiresAt ? token.m_received : 0.0;
    share->m_received += received;
    addToBucket(*share, 1.0 - received);
}

double tokensToAsk(RateShares &shares, const std::string &organisation, bool requestWaits,
                   std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr || !shares.m_settings.m_transfersTokens)
        return 0.0;
    refill(*share, now);
    const double tokens = tokensOf(*share);
    const bool urgent = tokens < 1.0;
    if (now < (urgent ? share->m_nextUrgentRequest : share->m_nextRequest))
        return 0.0;
    const double ahead = Seconds(shares.m_settings.m_prefetchPeriod).count();
    // Prefetched tokens that are not used soon expire, so a node that is not a holder prefetches
    // only at sufficient demand.
    const bool prefetches =
            share->m_part > 0 || share->m_demand >= shares.m_settings.m_prefetchDemand;
    if (!prefetches && !requestWaits)
        return 0.0;
    const double wanted = 1.0 + (prefetches ? share->m_demand * ahead : 0.0);
    const double refilled = ahead * share->m_rate * share->m_part;
    if (tokens + refilled / 2 >= wanted)
        return 0.0;
    share->m_nextRequest = now + shares.m_settings.m_requestInterval;
    share->m_nextUrgentRequest = now + shares.m_settings.m_urgentRequestInterval;
    return std::ceil(wanted - tokens);
}

bool mayWaitForToken(const RateShares &shares, const std::string &organisation, std::size_t waiting)
{
    const auto found = shares.m_organisations.find(organisation);
    if (found == shares.m_organisations.end() || shares.m_sharers.empty())
        return false;
    constexpr double UnevenDemand = 2.0;
    const double tokens = found->second.m_rate * Seconds(shares.m_settings.m_longestWait).count()
            / static_cast<double>(shares.m_sharers.size());
    return static_cast<double>(waiting) < std::max(1.0, UnevenDemand * tokens);
}

const std::vector<std::string> &rateHolders(const RateShares &shares,
                                            const std::string &organisation)
{
    static const std::vector<std::string> none;
    const auto found = shares.m_organisations.find(organisation);
    return found == shares.m_organisations.end() ? none : found->second.m_holders;
}

double giveTokens(RateShares &shares, const std::string &organisation, double wanted,
                  std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr || !(wanted > 0))
        return 0.0;
    refill(*share, now);
    const double tokens = tokensOf(*share);
    const double spare = tokens - std::min(1.0, share->m_demand);
    // One whole token is granted if available, because requests are waiting for it at the other
    // node. Fractions of a token would expire there unused.
    const double least = tokens >= 1.0 ? 1.0 : 0.0;
    const double given =
            std::floor(std::min(wanted, std::max(least, spare * shares.m_settings.m_grantedShare)));
    subtract(*share, given);
    return given;
}

void addTokens(RateShares &shares, const std::string &organisation, double tokens,
               std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr || !(tokens > 0))
        return;
    refill(*share, now);
    share->m_received += tokens;
    share->m_receivedAt = now;
}

std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    if (found == shares.m_organisations.end() || found->second.m_rate <= 0)
        return std::chrono::milliseconds{0};
    const double missing = std::max(0.0, 1.0 - tokensOf(found->second));
    const double holders = static_cast<double>(found->second.m_holders.size()) + 1.0;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            Seconds(missing * holders / found->second.m_rate));
    return std::min(wait, MaximumWait);
}

} // namespace chervilmount::traffic
