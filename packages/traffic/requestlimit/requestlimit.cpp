#include "traffic/requestlimit/requestlimit.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace chervilmount::traffic {

namespace {

using TimePoint = RequestLimit::TimePoint;
using Seconds = std::chrono::duration<double>;

constexpr double LargestRate = 1e9;
/** Requests a second that are sent at the least, to hear of a limit that has risen. The platform
 * accepts five requests in four seconds beyond any limit. */
constexpr double LeastRate = 0.5;
/** Requests that are saved up: one, and those of half a second. In four seconds this allows less
 * than one and a half times the limit. @{ */
constexpr double SavedRequests = 1.0;
constexpr Seconds SavedTime{0.5};
/** @} */

/** A token may lack this much because of rounding. */
constexpr double Rounding = 1e-6;

double largestTokens(double rate)
{
    return SavedRequests + usedRate(rate) * SavedTime.count();
}

double tokensAt(const RequestLimit &limit, TimePoint now)
{
    const double earned = usedRate(*limit.m_rate) * Seconds(now - limit.m_updatedAt).count();
    return std::min(largestTokens(*limit.m_rate), limit.m_tokens + std::max(0.0, earned));
}

} // namespace

std::optional<double> parseRequestLimit(std::string_view text)
{
    double rate = 0.0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    const bool startsWithDigit = !text.empty() && text.front() >= '0' && text.front() <= '9';
    if (!startsWithDigit || result.ec != std::errc() || result.ptr != end || rate > LargestRate)
        return std::nullopt;
    return rate;
}

double usedRate(double rate)
{
    return std::max(rate, LeastRate);
}

void nameLimit(RequestLimit &limit, double rate, TimePoint now)
{
    limit.m_tokens = limit.m_rate ? tokensAt(limit, now) : 0.0;
    limit.m_rate = rate;
    limit.m_tokens = std::min(limit.m_tokens, largestTokens(rate));
    limit.m_updatedAt = limit.m_namedAt = now;
}

bool liftLimit(RequestLimit &limit, TimePoint sentAt)
{
    if (!limit.m_rate || sentAt < limit.m_namedAt)
        return false;
    limit.m_rate.reset();
    return true;
}

bool takeRequest(RequestLimit &limit, TimePoint now)
{
    if (!limit.m_rate)
        return true;
    limit.m_tokens = tokensAt(limit, now);
    limit.m_updatedAt = std::max(limit.m_updatedAt, now);
    if (limit.m_tokens < 1.0 - Rounding)
        return false;
    limit.m_tokens = std::max(0.0, limit.m_tokens - 1.0);
    return true;
}

TimePoint timeOfRequests(const RequestLimit &limit, double requests, TimePoint now)
{
    if (!limit.m_rate)
        return now;
    const double missing = std::max(0.0, requests - tokensAt(limit, now));
    return now
            + std::chrono::ceil<std::chrono::milliseconds>(
                    Seconds(missing / usedRate(*limit.m_rate)));
}

} // namespace chervilmount::traffic
