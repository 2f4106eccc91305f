#include "traffic/allotment/rateshare.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time constant of the demand's average. */
constexpr double DemandSeconds = 1.0;
/** Time after which unused tokens from other nodes expire. */
constexpr std::chrono::milliseconds ReceivedLifetime{1000};
constexpr std::chrono::milliseconds LongestWait{10000};

void refill(RateShare &share, std::chrono::steady_clock::time_point now)
{
    // A time before the last refill must not be counted a second time.
    if (now <= share.m_refilledAt)
        return;
    const double elapsed = Seconds(now - share.m_refilledAt).count();
    share.m_refilledAt = now;
    share.m_demand *= std::exp(-elapsed / DemandSeconds);
    const double full = share.m_part > 0 ? std::max(1.0, share.m_burst * share.m_part) : 0.0;
    if (share.m_tokens < full) {
        share.m_tokens = std::min(full, share.m_tokens + elapsed * share.m_rate * share.m_part);
        return;
    }
    // Tokens above the node's own part of the burst came from other nodes, whose buckets have been
    // refilled since; unless they are used soon they would add to the burst.
    if (now - share.m_receivedAt > ReceivedLifetime)
        share.m_tokens = full;
}

RateShare *limitedShare(RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    return found == shares.m_organisations.end() || found->second.m_rate <= 0 ? nullptr
                                                                              : &found->second;
}

void divide(const RateShares &shares, const std::string &organisation, RateShare &share)
{
    if (shares.m_sharers.empty() || share.m_rate <= 0)
        return;
    share.m_holders = chooseRateHolders(shares.m_sharers, organisation, share.m_burst,
                                        shares.m_settings.m_leastTokens);
    const auto holders = static_cast<double>(share.m_holders.size());
    const bool holds = std::erase(share.m_holders, shares.m_self) > 0;
    share.m_part = holds ? 1.0 / holders : 0.0;
}

} // namespace

void setSharers(RateShares &shares, const std::string &self, std::vector<RateSharer> sharers,
                std::chrono::steady_clock::time_point now)
{
    if (shares.m_self == self && shares.m_sharers == sharers)
        return;
    shares.m_self = self;
    shares.m_sharers = std::move(sharers);
    for (auto &[organisation, share] : shares.m_organisations) {
        refill(share, now);
        divide(shares, organisation, share);
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
    if (burst < share.m_burst && share.m_burst > 0)
        share.m_tokens *= burst / share.m_burst;
    share.m_rate = rate;
    share.m_burst = burst;
    divide(shares, organisation, share);
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

bool takeToken(RateShares &shares, const std::string &organisation,
               std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return true;
    refill(*share, now);
    if (share->m_tokens < 1.0)
        return false;
    share->m_tokens -= 1.0;
    return true;
}

void returnToken(RateShares &shares, const std::string &organisation)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share != nullptr)
        share->m_tokens += 1.0;
}

double tokensToAsk(RateShares &shares, const std::string &organisation, bool requestWaits,
                   std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return 0.0;
    refill(*share, now);
    const bool urgent = share->m_tokens < 1.0;
    if (now < (urgent ? share->m_nextUrgentAsk : share->m_nextAsk))
        return 0.0;
    const double ahead = Seconds(shares.m_settings.m_askAhead).count();
    // Tokens that a node without a part of its own does not use soon expire.
    const bool asksAhead =
            share->m_part > 0 || share->m_demand >= shares.m_settings.m_askAheadDemand;
    if (!asksAhead && !requestWaits)
        return 0.0;
    const double wanted = 1.0 + (asksAhead ? share->m_demand * ahead : 0.0);
    const double refilled = ahead * share->m_rate * share->m_part;
    if (share->m_tokens + refilled / 2 >= wanted)
        return 0.0;
    share->m_nextAsk = now + shares.m_settings.m_askInterval;
    share->m_nextUrgentAsk = now + shares.m_settings.m_urgentAskInterval;
    return std::ceil(wanted - share->m_tokens);
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
    const double spare = share->m_tokens - std::min(1.0, share->m_demand);
    // A whole token is given if there is one: the asking node has requests that wait for it. Parts
    // of a token are of no use there, and would expire.
    const double least = share->m_tokens >= 1.0 ? 1.0 : 0.0;
    const double given =
            std::floor(std::min(wanted, std::max(least, spare * shares.m_settings.m_givenShare)));
    share->m_tokens -= given;
    return given;
}

void addTokens(RateShares &shares, const std::string &organisation, double tokens,
               std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr || !(tokens > 0))
        return;
    refill(*share, now);
    share->m_tokens += tokens;
    share->m_receivedAt = now;
}

std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    if (found == shares.m_organisations.end() || found->second.m_rate <= 0)
        return std::chrono::milliseconds{0};
    const double missing = std::max(0.0, 1.0 - found->second.m_tokens);
    const double holders = static_cast<double>(found->second.m_holders.size()) + 1.0;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            Seconds(missing * holders / found->second.m_rate));
    return std::min(wait, LongestWait);
}

} // namespace chervilmount::traffic
