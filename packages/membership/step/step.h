#pragma once

#include "membership/step/effects.h"
#include "membership/step/event.h"
#include "membership/step/membershipstate.h"

#include <chrono>
#include <random>

namespace chervilmount::membership {

/**
 * Takes in one event.
 * @param now present time of a monotonic clock; never earlier than in the step before.
 * @param random source of randomness, for the spreading of load only.
 * @returns what the caller has to carry out.
 */
Effects step(MembershipState &state, const Event &event, std::chrono::steady_clock::time_point now,
             std::mt19937_64 &random);

} // namespace chervilmount::membership
