#pragma once

#include "sharedstate/lease/leaseevent.h"
#include "sharedstate/lease/leasestate.h"

#include <chrono>
#include <random>

namespace chervilmount::sharedstate {

/**
 * Handles an event of one lease at one node: renewal, takeover, promises and graceful release.
 *
 * @param random source of the nonces.
 * @param faults for tests only.
 */
LeaseEffects step(LeaseState &state, const LeaseEvent &event,
                  std::chrono::steady_clock::time_point now, std::mt19937_64 &random,
                  const LeaseFaults &faults = {});

/**
 * Returns whether the node may act as the holder at this moment. Must be checked immediately before
 * each effect, because the process may have been paused since the last event.
 */
bool holdsRight(const LeaseState &state, std::chrono::steady_clock::time_point now,
                const LeaseFaults &faults = {});

} // namespace chervilmount::sharedstate
