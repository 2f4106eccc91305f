#include "sharedstate/leaseschedule.h"

#include <algorithm>

namespace chervilmount::simulation {

using namespace sharedstate;

namespace {

constexpr std::size_t Successors = 2;

NodeReference reference(World &world, int node)
{
    return {std::to_string(node), world.node(node).m_incarnation};
}

} // namespace

LeaseGroup::LeaseGroup(World &world, FakeStore &store, std::string name, std::vector<int> members,
                       const LeaseFaults &faults)
    : m_world(world)
    , m_store(store)
    , m_name(std::move(name))
    , m_members(std::move(members))
    , m_faults(faults)
    , m_states(m_members.size())
    , m_serving(m_members.size(), true)
{
}

std::size_t LeaseGroup::index(int node) const
{
    return static_cast<std::size_t>(std::find(m_members.begin(), m_members.end(), node)
                                    - m_members.begin());
}

void LeaseGroup::start(int node)
{
    LeaseState &state = m_states[index(node)];
    const LeaseSettings settings = state.m_settings;
    state = LeaseState();
    state.m_settings = settings;
    state.m_name = m_name;
    state.m_self = reference(m_world, node);
    state.m_candidate = true;
    state.m_candidateDelay = std::chrono::milliseconds(500) * index(node);
    m_world.every(node, std::chrono::milliseconds(250),
                  [this, node]() { stepNode(node, LeaseTick{}); });
}

void LeaseGroup::leave(int node)
{
    m_states[index(node)].m_leaving = true;
    setServing(node, false);
}

void LeaseGroup::setServing(int node, bool serving)
{
    m_serving[index(node)] = serving;
}

bool LeaseGroup::holds(int node) const
{
    return holdsRight(m_states[index(node)], m_world.localTime(node), m_faults);
}

int LeaseGroup::holder() const
{
    for (const int node : m_members) {
        if (m_world.runs(node) && holds(node))
            return node;
    }
    return -1;
}

std::uint64_t LeaseGroup::epoch(int node) const
{
    const LeaseState &state = m_states[index(node)];
    return state.m_row ? state.m_row->m_epoch : 0;
}

void LeaseGroup::stepNode(int node, const LeaseEvent &event)
{
    LeaseState &state = m_states[index(node)];
    state.m_preferredSuccessors.clear();
    for (std::size_t offset = 1; offset < m_members.size(); ++offset) {
        const std::size_t other = (index(node) + offset) % m_members.size();
        if (m_serving[other] && state.m_preferredSuccessors.size() < Successors)
            state.m_preferredSuccessors.push_back(reference(m_world, m_members[other]));
    }
    const bool held = state.m_holding;
    const LeaseEffects effects =
            step(state, event, m_world.localTime(node), m_world.random(), m_faults);
    if (m_world.traced() && held != state.m_holding) {
        m_world.trace(m_name + ": node " + std::to_string(node)
                      + (state.m_holding ? " holds epoch " : " no longer holds epoch ")
                      + std::to_string(epoch(node)));
    }
    for (const StoreRequest &request : effects.m_store)
        m_store.request(node, request,
                        [this, node](const StoreResult &result) { stepNode(node, result); });
    for (const LeasePromiseRequest &request : effects.m_promiseRequests) {
        const int to = std::stoi(request.m_successor.m_node);
        m_world.send(node, to, [this, to, request]() { stepNode(to, request); });
    }
    for (const LeasePromise &promise : effects.m_promises) {
        const int to = std::stoi(promise.m_holder.m_node);
        m_world.send(node, to, [this, to, promise]() { stepNode(to, promise); });
    }
}

} // namespace chervilmount::simulation
