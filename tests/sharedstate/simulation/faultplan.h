#pragma once

#include "sharedstate/simulation/fakestore.h"
#include "sharedstate/simulation/world.h"

#include <functional>

namespace chervilmount::simulation {

/** Which faults a schedule may contain. */
struct FaultPlan
{
    /** Faults are injected from zero up to this time; after it the system can recover. */
    Nanoseconds m_until = std::chrono::seconds(30);
    int m_faults = 5;
    int m_domains = 2;
    /** Longest pause of a process; longer than a lease. */
    Nanoseconds m_longestPause = std::chrono::seconds(15);
    Nanoseconds m_longestOutage = std::chrono::seconds(20);
    bool m_crashes = true;
    /** Called after a node has restarted with a new incarnation. */
    std::function<void(int)> m_onRestart;
};

/** Schedules random faults, drawn from the world's random numbers. */
void injectFaults(World &world, FakeStore &store, const FaultPlan &plan);

} // namespace chervilmount::simulation
