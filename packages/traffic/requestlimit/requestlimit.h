#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace chervilmount::traffic {

/**
 * Limit on the requests a second that a backend server has named in its answers. A token bucket:
 * each request sent to the server, first or again, takes a token.
 */
struct RequestLimit
{
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Requests a second; nothing while the server names no limit. */
    std::optional<double> m_rate;
    double m_tokens = 0.0;
    /** When m_tokens was computed. */
    TimePoint m_updatedAt;
    /** When an answer that names the limit last arrived. */
    TimePoint m_namedAt;
};

/** @returns a limit as a backend server writes it, a decimal number from 0 to 1e9 without sign or
 * exponent; nothing for anything else. */
std::optional<double> parseRequestLimit(std::string_view text);

/** Processes an answer that names a limit. */
void nameLimit(RequestLimit &limit, double rate, RequestLimit::TimePoint now);

/**
 * Processes an answer that names none, which lifts the limit. Answers to requests that were sent
 * before the last one that named it may have been overtaken, and do not count.
 * @param sentAt when the answered request was sent.
 * @returns whether there was a limit.
 */
bool liftLimit(RequestLimit &limit, RequestLimit::TimePoint sentAt);

/** Takes the token for a request. @returns whether the request may be sent now. */
bool takeRequest(RequestLimit &limit, RequestLimit::TimePoint now);

/** @returns when the given number of requests may have been sent. */
RequestLimit::TimePoint timeOfRequests(const RequestLimit &limit, double requests,
                                       RequestLimit::TimePoint now);

/** @returns the rate that is used, requests a second. Above 0, since only an answer shows that a
 * limit has risen. @param rate the rate that the server names. */
double usedRate(double rate);

} // namespace chervilmount::traffic
