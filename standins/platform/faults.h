#pragma once

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>

namespace chervilmount::standins {

/** Faults that a test can inject into the platform stand-in. */
struct Faults
{
    /** Responds to every request with 503. */
    bool m_down = false;
    /** Delay before a request takes effect. */
    std::chrono::milliseconds m_delay{0};
    /** Closes the connection instead of responding to every Nth write, which takes effect; 0
     * disables the fault. */
    std::uint64_t m_loseEveryNthWriteResponse = 0;
    /** Maximum writes per second; further ones get 429. */
    std::uint64_t m_writesPerSecond = 500;
    /** Maximum reads per second; further ones get 429. */
    std::uint64_t m_readsPerSecond = 2000;
};

/** Changes the named fields. @throws std::exception if a value has the wrong type. */
void updateFaults(Faults &faults, const boost::json::value &changes);

/** Fixed-window rate limiter with windows of one second. */
struct RateLimiter
{
    std::chrono::steady_clock::time_point m_windowStart;
    std::uint64_t m_used = 0;
};

/** @returns whether another request is within the limit; counts it if so. */
bool takeFromLimit(RateLimiter &limiter, std::uint64_t perSecond,
                   std::chrono::steady_clock::time_point now);

} // namespace chervilmount::standins
