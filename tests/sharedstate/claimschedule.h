#pragma once

#include "sharedstate/sharedstate.h"
#include "sharedstate/simulation/runner.h"

namespace chervilmount::simulation {

/**
 * Runs callers with once-only requests against six entry nodes in two failure domains, with random
 * faults. The checker sees the requests that callers send, the responses they get, and the runs at
 * backend servers.
 */
ScheduleResult runClaimSchedule(std::uint64_t seed, bool traced,
                                const sharedstate::ClaimFaults &faults = {});

} // namespace chervilmount::simulation
