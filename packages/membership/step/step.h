#pragma once

#include "membership/step/effects.h"
#include "membership/step/event.h"
#include "membership/step/membershipstate.h"

#include <chrono>
#include <random>

namespace chervilmount::membership {

/**
 * Handles one event.
 * @param now current time of a monotonic clock; never earlier than in the previous step.
 * @param random random number generator, used only to spread load.
 * @returns the actions that the caller has to carry out.
 */
Effects step(MembershipState &state, const Event &event, std::chrono::steady_clock::time_point now,
             std::mt19937_64 &random);

} // namespace chervilmount::membership
