#pragma once

#include "sharedstate/sharedstate.h"
#include "sharedstate/simulation/fakestore.h"
#include "sharedstate/simulation/runner.h"
#include "sharedstate/simulation/world.h"

#include <functional>
#include <string>
#include <vector>

namespace chervilmount::simulation {

/** Runs one lease on the member nodes of a world; shared by all schedules that need a holder. */
class LeaseGroup
{
public:
    /** @param members nodes that take part, all of them candidates. */
    LeaseGroup(World &world, FakeStore &store, std::string name, std::vector<int> members,
               const sharedstate::LeaseFaults &faults);

    /** Starts the node's lease state in its current incarnation, without prior knowledge. */
    void start(int node);
    /** Lets the node leave gracefully. */
    void leave(int node);
    /** Removes the node from the member tables of the others. */
    void setServing(int node, bool serving);

    /** @returns whether the node may act as the holder now. */
    bool holds(int node) const;
    /** @returns the node that holds the right, or -1. Several holders are a violation. */
    int holder() const;
    std::uint64_t epoch(int node) const;
    sharedstate::LeaseState &state(int node) { return m_states[index(node)]; }
    const std::vector<int> &members() const { return m_members; }

private:
    std::size_t index(int node) const;
    void stepNode(int node, const sharedstate::LeaseEvent &event);

    World &m_world;
    FakeStore &m_store;
    std::string m_name;
    std::vector<int> m_members;
    sharedstate::LeaseFaults m_faults;
    std::vector<sharedstate::LeaseState> m_states;
    std::vector<bool> m_serving;
};

/** Checks a lease from the effects of its holders and from what operators observe. */
class LeaseChecker
{
public:
    /** A holder caused an effect. */
    void acted(int node, std::uint64_t epoch);
    /** Operators queried all nodes, and these claim to hold the right. */
    void claimedBy(const std::vector<int> &nodes);
    /** No node holds the lease long after the last fault. */
    void noHolderAtEnd();

    const std::string &violation() const { return m_violation; }
    std::uint64_t observations() const { return m_observations; }

private:
    void fail(const std::string &text);

    std::uint64_t m_epoch = 0;
    int m_node = -1;
    std::string m_violation;
    std::uint64_t m_observations = 0;
};

/** Runs one lease on five nodes in three failure domains with random faults. */
ScheduleResult runLeaseSchedule(std::uint64_t seed, bool traced,
                                const sharedstate::LeaseFaults &faults = {});

} // namespace chervilmount::simulation
