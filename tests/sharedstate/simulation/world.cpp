#include "sharedstate/simulation/world.h"

#include <algorithm>
#include <memory>

namespace chervilmount::simulation {

namespace {

constexpr int MaximumDomains = 16;
constexpr int NoNode = -1;
/** Clock rates of machines differ by up to this fraction. */
constexpr double ClockRateError = 0.0005;

} // namespace

World::World(std::uint64_t seed, bool traced)
    : m_random(seed)
    , m_traced(traced)
    , m_cuts(MaximumDomains, std::vector<bool>(MaximumDomains, false))
{
}

int World::addNode(int domain)
{
    SimulatedNode node;
    node.m_domain = domain;
    node.m_clockRate =
            std::uniform_real_distribution<>(1 - ClockRateError, 1 + ClockRateError)(m_random);
    node.m_clockOffset = between(std::chrono::hours(1), std::chrono::hours(1000));
    m_nodes.push_back(node);
    return nodeCount() - 1;
}

TimePoint World::localTime(int node) const
{
    const SimulatedNode &found = m_nodes[static_cast<std::size_t>(node)];
    const double elapsed = static_cast<double>(m_now.count()) * found.m_clockRate;
    return TimePoint(found.m_clockOffset + Nanoseconds(static_cast<std::int64_t>(elapsed)));
}

bool World::runs(int node) const
{
    const SimulatedNode &found = m_nodes[static_cast<std::size_t>(node)];
    return found.m_up && found.m_pausedUntil <= m_now;
}

bool World::chance(double probability)
{
    return std::generate_canonical<double, 32>(m_random) < probability;
}

Nanoseconds World::between(Nanoseconds low, Nanoseconds high)
{
    return Nanoseconds(
            std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(m_random));
}

void World::push(Nanoseconds time, int node, std::uint64_t incarnation,
                 std::function<void()> action)
{
    m_events.push_back({time, m_sequence++, node, incarnation, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end());
}

void World::after(Nanoseconds delay, std::function<void()> action)
{
    push(m_now + delay, NoNode, 0, std::move(action));
}

void World::afterAt(int node, Nanoseconds delay, std::function<void()> action)
{
    push(m_now + delay, node, this->node(node).m_incarnation, std::move(action));
}

void World::every(int node, Nanoseconds period, const std::function<void()> &action)
{
    afterAt(node, period, [this, node, period, action]() {
        action();
        every(node, period, action);
    });
}

Nanoseconds World::transitTime(int from, int to)
{
    if (from == to)
        return std::chrono::microseconds(10);
    if (chance(m_network.m_long))
        return between(std::chrono::milliseconds(1), m_network.m_longDelay);
    return node(from).m_domain == node(to).m_domain
            ? between(std::chrono::microseconds(200), std::chrono::milliseconds(1))
            : between(std::chrono::milliseconds(1), std::chrono::milliseconds(13));
}

void World::send(int from, int to, std::function<void()> action)
{
    if (isCut(node(from).m_domain, node(to).m_domain) || !node(to).m_up || chance(m_network.m_loss))
        return;
    if (chance(m_network.m_duplicate))
        afterAt(to, transitTime(from, to), action);
    afterAt(to, transitTime(from, to), std::move(action));
}

void World::setCut(int first, int second, bool cut)
{
    if (first == second)
        return;
    m_cuts[static_cast<std::size_t>(first)][static_cast<std::size_t>(second)] = cut;
    m_cuts[static_cast<std::size_t>(second)][static_cast<std::size_t>(first)] = cut;
}

bool World::isCut(int first, int second) const
{
    return m_cuts[static_cast<std::size_t>(first)][static_cast<std::size_t>(second)];
}

void World::crash(int number)
{
    node(number).m_up = false;
    node(number).m_pausedUntil = Nanoseconds(0);
    ++node(number).m_incarnation;
    trace("node " + std::to_string(number) + " crashes");
}

void World::restart(int number)
{
    node(number).m_up = true;
    trace("node " + std::to_string(number) + " restarts");
}

void World::pause(int number, Nanoseconds duration)
{
    node(number).m_pausedUntil = m_now + duration;
    if (m_traced) {
        trace("node " + std::to_string(number) + " is paused for "
              + std::to_string(duration.count() / 1000000) + " ms");
    }
}

void World::runEvent(Event &event)
{
    if (event.m_node == NoNode) {
        event.m_action();
        return;
    }
    const SimulatedNode &target = node(event.m_node);
    if (!target.m_up || target.m_incarnation != event.m_incarnation)
        return;
    if (target.m_pausedUntil > m_now) {
        push(target.m_pausedUntil, event.m_node, event.m_incarnation, std::move(event.m_action));
        return;
    }
    event.m_action();
}

void World::run(Nanoseconds until)
{
    while (!m_events.empty() && m_events.front().m_time <= until) {
        std::pop_heap(m_events.begin(), m_events.end());
        Event event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.m_time;
        runEvent(event);
    }
    m_now = until;
}

void World::trace(const std::string &line)
{
    if (m_traced)
        m_lines.push_back(std::to_string(m_now.count() / 1000000) + " ms  " + line);
}

std::string World::traceText() const
{
    constexpr std::size_t MaximumLines = 400;
    std::string text;
    const std::size_t begin = m_lines.size() > MaximumLines ? m_lines.size() - MaximumLines : 0;
    for (std::size_t index = begin; index < m_lines.size(); ++index)
        text += m_lines[index] + "\n";
    return text;
}

} // namespace chervilmount::simulation
