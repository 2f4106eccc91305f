#pragma once

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>

namespace chervilmount::standins {

/** Faults that a test can switch on in the platform stand-in. */
struct Faults
{
    /** Every request is answered with 503. */
    bool m_down = false;
    /** Delay before a request takes effect. */
    std::chrono::milliseconds m_delay{0};
    /** Of every N writes, one takes effect but its connection is closed instead; 0 for none. */
    std::uint64_t m_loseEveryNthWriteResponse = 0;
    /** Writes a second that are accepted; further ones get 429. */
    std::uint64_t m_writesPerSecond = 500;
    /** Reads a second that are accepted; further ones get 429. */
    std::uint64_t m_readsPerSecond = 2000;
};

/** Changes the named fields. @throws std::exception if a value has the wrong type. */
void updateFaults(Faults &faults, const boost::json::value &changes);

/** Counts requests against a limit in windows of one second. */
struct RateLimiter
{
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint64_t m_used = 0;
};

/** @returns whether one more request is within the limit. */
bool takeFromLimit(RateLimiter &limiter, std::uint64_t perSecond,
                   std::chrono::steady_clock::time_point now);

} // namespace chervilmount::standins
