#include "sharedstate/simulation/faultplan.h"

#include <string>

namespace chervilmount::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int pick(World &world, int count)
{
    return std::uniform_int_distribution<int>(0, count - 1)(world.random());
}

void crashNode(World &world, const FaultPlan &plan)
{
    const int node = pick(world, world.nodeCount());
    if (!world.node(node).m_up)
        return;
    world.crash(node);
    world.after(world.between(milliseconds(100), seconds(8)), [&world, &plan, node]() {
        world.restart(node);
        plan.m_onRestart(node);
    });
}

void cutDomains(World &world, const FaultPlan &plan, Nanoseconds duration)
{
    const int first = pick(world, plan.m_domains);
    const int second = pick(world, plan.m_domains);
    world.setCut(first, second, true);
    world.trace("domains " + std::to_string(first) + " and " + std::to_string(second) + " are cut");
    world.after(duration, [&world, first, second]() { world.setCut(first, second, false); });
}

void isolateDomain(World &world, FakeStore &store, const FaultPlan &plan, Nanoseconds duration)
{
    const int domain = pick(world, plan.m_domains);
    world.trace("domain " + std::to_string(domain) + " is cut off from all");
    store.setCut(domain, true);
    for (int other = 0; other < plan.m_domains; ++other)
        world.setCut(domain, other, true);
    world.after(duration, [&world, &store, &plan, domain]() {
        store.setCut(domain, false);
        for (int other = 0; other < plan.m_domains; ++other)
            world.setCut(domain, other, false);
    });
}

void degradeStore(World &world, FakeStore &store, Nanoseconds duration)
{
    world.trace("store loses and delays requests");
    store.quality().m_lostRequest = 0.1;
    store.quality().m_lostResponse = 0.25;
    store.quality().m_lateRequest = 0.25;
    store.quality().m_usualDelay = milliseconds(world.chance(0.5) ? 20 : 400);
    world.after(duration, [&world, &store]() {
        const bool up = store.quality().m_up;
        store.quality() = StoreQuality();
        store.quality().m_up = up;
        world.trace("store is well again");
    });
}

void stopStore(World &world, FakeStore &store, Nanoseconds duration)
{
    world.trace("store goes down");
    store.quality().m_up = false;
    world.after(duration, [&world, &store]() {
        store.quality().m_up = true;
        world.trace("store comes up");
    });
}

void degradeNetwork(World &world, Nanoseconds duration)
{
    world.trace("network loses and delays messages");
    world.network() = {0.2, 0.05, 0.1, seconds(3)};
    world.after(duration, [&world]() { world.network() = NetworkQuality(); });
}

void injectFault(World &world, FakeStore &store, const FaultPlan &plan)
{
    const Nanoseconds duration = world.between(milliseconds(200), plan.m_longestOutage);
    switch (pick(world, 8)) {
    case 0:
        if (plan.m_crashes)
            crashNode(world, plan);
        return;
    case 1:
    case 2:
        world.pause(pick(world, world.nodeCount()),
                    world.between(milliseconds(100), plan.m_longestPause));
        return;
    case 3:
        cutDomains(world, plan, duration);
        return;
    case 4:
        isolateDomain(world, store, plan, duration);
        return;
    case 5:
        degradeStore(world, store, duration);
        return;
    case 6:
        stopStore(world, store, duration);
        return;
    default:
        degradeNetwork(world, duration);
    }
}

} // namespace

void injectFaults(World &world, FakeStore &store, const FaultPlan &plan)
{
    const int count = 1 + pick(world, plan.m_faults);
    for (int index = 0; index < count; ++index) {
        world.after(world.between(Nanoseconds(0), plan.m_until),
                    [&world, &store, &plan]() { injectFault(world, store, plan); });
    }
}

} // namespace chervilmount::simulation
