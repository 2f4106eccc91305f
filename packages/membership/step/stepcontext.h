#pragma once

#include "membership/step/effects.h"
#include "membership/step/membershipstate.h"

#include <chrono>
#include <random>
#include <utility>

namespace chervilmount::membership {

/** State shared by the functions that handle one step. */
struct StepContext
{
    MembershipState &m_state;
    std::chrono::steady_clock::time_point m_now;
    std::mt19937_64 &m_random;
    Effects &m_effects;
};

/** Queues a message. */
inline void send(StepContext &context, NodeId to, Payload payload)
{
    context.m_effects.m_sends.push_back({std::move(to), std::move(payload)});
}

/** Returns a random number below the bound, which must be positive. */
inline std::size_t randomBelow(StepContext &context, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(context.m_random);
}

/** Returns the interval with a random jitter of up to ±50 %, to spread the load. */
inline std::chrono::milliseconds jittered(StepContext &context, std::chrono::milliseconds interval)
{
    const std::size_t span = static_cast<std::size_t>(interval.count()) + 1;
    return interval / 2 + std::chrono::milliseconds(randomBelow(context, span));
}

} // namespace chervilmount::membership
