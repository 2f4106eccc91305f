#include "traffic/allotment/rateshare.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Time constant of the demand's average. */
constexpr double DemandSeconds = 1.0;
/** Time constant at which unused tokens from other nodes expire. */
constexpr double ReceivedSeconds = 1.0;
constexpr std::chrono::milliseconds LongestWait{10000};

void refill(const RateShares &shares, RateShare &share, std::chrono::steady_clock::time_point now)
{
    // A time before the last refill must not be counted a second time.
    if (now <= share.m_refilledAt)
        return;
    const double elapsed = Seconds(now - share.m_refilledAt).count();
    share.m_refilledAt = now;
    share.m_demand *= std::exp(-elapsed / DemandSeconds);
    const double full = std::max(1.0, share.m_burst / shares.m_nodes);
    if (share.m_tokens < full) {
        share.m_tokens = std::min(full, share.m_tokens + elapsed * share.m_rate / shares.m_nodes);
        return;
    }
    // Tokens above the node's own part of the burst came from other nodes, whose buckets have been
    // refilled since; unless they are used soon they would add to the burst.
    share.m_tokens = full + (share.m_tokens - full) * std::exp(-elapsed / ReceivedSeconds);
}

RateShare *limitedShare(RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    return found == shares.m_organisations.end() || found->second.m_rate <= 0 ? nullptr
                                                                              : &found->second;
}

} // namespace

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
        refill(shares, share, now);
    if (burst < share.m_burst && share.m_burst > 0)
        share.m_tokens *= burst / share.m_burst;
    share.m_rate = rate;
    share.m_burst = burst;
}

bool takeToken(RateShares &shares, const std::string &organisation,
               std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return true;
    refill(shares, *share, now);
    share->m_demand += 1.0 / DemandSeconds;
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

double tokensToAsk(RateShares &shares, const std::string &organisation,
                   std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr)
        return 0.0;
    refill(shares, *share, now);
    const bool urgent = share->m_tokens < 1.0;
    if (now < (urgent ? share->m_nextUrgentAsk : share->m_nextAsk))
        return 0.0;
    const double ahead = Seconds(shares.m_settings.m_askAhead).count();
    const double wanted = 1.0 + share->m_demand * ahead;
    const double refilled = ahead * share->m_rate / shares.m_nodes;
    if (share->m_tokens + refilled / 2 >= wanted)
        return 0.0;
    share->m_nextAsk = now + shares.m_settings.m_askInterval;
    share->m_nextUrgentAsk = now + shares.m_settings.m_urgentAskInterval;
    return wanted - share->m_tokens;
}

double giveTokens(RateShares &shares, const std::string &organisation, double wanted,
                  std::chrono::steady_clock::time_point now)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share == nullptr || !(wanted > 0))
        return 0.0;
    refill(shares, *share, now);
    const double spare = share->m_tokens - std::min(1.0, share->m_demand);
    // A whole token is given if there is one: the asking node has requests that wait for it.
    const double least = share->m_tokens >= 1.0 ? 1.0 : 0.0;
    const double given = std::min(wanted, std::max(least, spare * shares.m_settings.m_givenShare));
    share->m_tokens -= given;
    return given;
}

void addTokens(RateShares &shares, const std::string &organisation, double tokens)
{
    RateShare *share = limitedShare(shares, organisation);
    if (share != nullptr && tokens > 0)
        share->m_tokens += tokens;
}

std::chrono::milliseconds timeToToken(const RateShares &shares, const std::string &organisation)
{
    const auto found = shares.m_organisations.find(organisation);
    if (found == shares.m_organisations.end() || found->second.m_rate <= 0)
        return std::chrono::milliseconds{0};
    const double missing = std::max(0.0, 1.0 - found->second.m_tokens);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            Seconds(missing * shares.m_nodes / found->second.m_rate));
    return std::min(wait, LongestWait);
}

} // namespace chervilmount::traffic
