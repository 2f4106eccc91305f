#include "sharedstate/leaseschedule.h"

#include "sharedstate/simulation/faultplan.h"

namespace chervilmount::simulation {

using namespace sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;

void LeaseChecker::fail(const std::string &text)
{
    if (m_violation.empty())
        m_violation = text;
}

void LeaseChecker::acted(int node, std::uint64_t epoch)
{
    ++m_observations;
    if (epoch < m_epoch) {
        fail("node " + std::to_string(node) + " acted in epoch " + std::to_string(epoch)
             + " after an act in epoch " + std::to_string(m_epoch));
    }
    if (epoch == m_epoch && node != m_node)
        fail("two nodes acted in epoch " + std::to_string(epoch));
    m_epoch = epoch;
    m_node = node;
}

void LeaseChecker::claimedBy(const std::vector<int> &nodes)
{
    if (nodes.size() > 1) {
        fail("nodes " + std::to_string(nodes[0]) + " and " + std::to_string(nodes[1])
             + " claim the lease at the same time");
    }
}

void LeaseChecker::noHolderAtEnd()
{
    fail("nobody holds the lease long after the last fault");
}

namespace {

constexpr int Nodes = 5;
constexpr int Domains = 3;

class LeaseSchedule
{
public:
    LeaseSchedule(std::uint64_t seed, bool traced, const LeaseFaults &faults)
        : m_world(seed, traced)
        , m_store(m_world)
        , m_group(m_world, m_store, "configuration", {0, 1, 2, 3, 4}, faults)
    {
    }

    ScheduleResult run();

private:
    void start(int node);
    void act(int node);
    void observeAll();

    World m_world;
    FakeStore m_store;
    LeaseGroup m_group;
    FaultPlan m_plan;
    LeaseChecker m_checker;
};

void LeaseSchedule::start(int node)
{
    m_group.start(node);
    m_group.setServing(node, true);
    m_world.every(node, milliseconds(150), [this, node]() { act(node); });
}

void LeaseSchedule::act(int node)
{
    if (m_group.holds(node))
        m_checker.acted(node, m_group.epoch(node));
}

void LeaseSchedule::observeAll()
{
    std::vector<int> nodes;
    for (int node = 0; node < Nodes; ++node) {
        if (m_world.runs(node) && m_group.holds(node))
            nodes.push_back(node);
    }
    m_checker.claimedBy(nodes);
    m_world.after(milliseconds(200), [this]() { observeAll(); });
}

ScheduleResult LeaseSchedule::run()
{
    const bool shortOutage = m_world.chance(0.3);
    for (int node = 0; node < Nodes; ++node) {
        m_world.addNode(node % Domains);
        // With a short M, schedules reach the takeover by nodes that are not named successors.
        if (shortOutage)
            m_group.state(node).m_settings.m_longestOutage = seconds(15);
        start(node);
    }
    m_plan.m_domains = Domains;
    m_plan.m_until = seconds(40);
    m_plan.m_faults = 8;
    m_plan.m_onRestart = [this](int node) { start(node); };
    injectFaults(m_world, m_store, m_plan);
    if (m_world.chance(0.3)) {
        const int leaver =
                static_cast<int>(m_world.between(Nanoseconds(0), Nanoseconds(4)).count());
        m_world.after(m_world.between(seconds(5), seconds(45)),
                      [this, leaver]() { m_group.leave(leaver); });
    }
    observeAll();
    m_world.run(seconds(85));
    // If a crashed holder's successors are all unavailable, another node takes over only after M +
    // T.
    if (m_group.holder() < 0 && shortOutage)
        m_checker.noHolderAtEnd();
    return {m_checker.violation(), m_world.traceText(), m_checker.observations()};
}

} // namespace

ScheduleResult runLeaseSchedule(std::uint64_t seed, bool traced, const LeaseFaults &faults)
{
    LeaseSchedule schedule(seed, traced, faults);
    return schedule.run();
}

} // namespace chervilmount::simulation
