#include "membership/checker.h"

#include <algorithm>

namespace chervilmount::simulation {

using namespace membership;

namespace {

Milliseconds since(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

bool isActive(const SimulatedNode &node)
{
    return node.m_running && !node.m_pausedUntil;
}

} // namespace

Checker::Checker(Simulation &network)
    : m_network(network)
    , m_ableSince(network.nodes().size(),
                  std::vector<TimePoint>(network.nodes().size(), network.now()))
    , m_presentAt(m_ableSince)
{
}

void Checker::violation(const std::string &text)
{
    m_network.trace("VIOLATION " + text);
    m_result.m_violations.push_back(text);
}

bool Checker::isRemoved(std::size_t observer, std::size_t subject) const
{
    const MembershipState &state = m_network.nodes()[observer].m_state;
    const NodeId &id = m_network.nodes()[subject].m_id;
    const std::optional<MemberState> known = state.m_table.findState(keyOf(id));
    return !known || !isPresent(*known) || !isReachable(state, id.m_failureDomain);
}

void Checker::samplePair(std::size_t observer, std::size_t subject)
{
    const SimulatedNode &from = m_network.nodes()[observer];
    const SimulatedNode &to = m_network.nodes()[subject];
    TimePoint &ableSince = m_ableSince[observer][subject];
    TimePoint &presentAt = m_presentAt[observer][subject];
    const bool able = isActive(from) && isActive(to) && m_network.canReach(observer, subject)
            && m_network.canReach(subject, observer);
    const TimePoint now = m_network.now();
    if (!able)
        ableSince = now;
    if (!able || !isRemoved(observer, subject)) {
        presentAt = now;
        return;
    }
    const Milliseconds removed = since(std::max(ableSince, presentAt), now);
    m_result.m_removal = std::max(m_result.m_removal, removed);
    if (removed > m_times.m_removal && removed <= m_times.m_removal + SampleInterval) {
        violation(from.m_id.m_address + " has removed the live node " + to.m_id.m_address + " for "
                  + std::to_string(removed.count()) + " ms");
    }
}

void Checker::expectLeaving(std::size_t node)
{
    m_expectations.push_back({node, true, m_network.now()});
    ++m_result.m_leaves;
}

void Checker::expectFailure(std::size_t node)
{
    m_expectations.push_back({node, false, m_network.now()});
    ++m_result.m_failures;
}

bool Checker::knows(const Expectation &expectation, std::size_t observer) const
{
    if (!expectation.m_leaving)
        return isRemoved(observer, expectation.m_node);
    const MembershipState &state = m_network.nodes()[observer].m_state;
    const std::optional<MemberState> known =
            state.m_table.findState(keyOf(m_network.nodes()[expectation.m_node].m_id));
    return !known || *known >= MemberState::Leaving;
}

void Checker::sampleExpectations()
{
    std::erase_if(m_expectations, [this](const Expectation &expectation) {
        const Milliseconds passed = since(expectation.m_since, m_network.now());
        bool allKnow = true;
        for (std::size_t node = 0; node < m_network.nodes().size(); ++node) {
            const SimulatedNode &observer = m_network.nodes()[node];
            if (!isActive(observer) || knows(expectation, node))
                continue;
            allKnow = false;
            const bool isolated = isIsolated(observer.m_state, m_network.now());
            Milliseconds bound = isolated ? m_times.m_failureIsolated : m_times.m_failure;
            if (expectation.m_leaving)
                bound = m_times.m_leaving;
            if (passed <= bound || passed > bound + SampleInterval)
                continue;
            violation(observer.m_id.m_address + " does not know that "
                      + m_network.nodes()[expectation.m_node].m_id.m_address
                      + (expectation.m_leaving ? " is leaving" : " has failed") + " after "
                      + std::to_string(passed.count()) + " ms");
        }
        Milliseconds &longest = expectation.m_leaving ? m_result.m_leaving : m_result.m_failure;
        if (!allKnow)
            longest = std::max(longest, passed);
        return allKnow || passed > m_times.m_failureIsolated + SampleInterval;
    });
}

void Checker::sample()
{
    const std::size_t count = m_network.nodes().size();
    for (std::size_t observer = 0; observer < count; ++observer) {
        for (std::size_t subject = 0; subject < count; ++subject) {
            if (observer != subject)
                samplePair(observer, subject);
        }
    }
    sampleExpectations();
}

bool Checker::allAgree(std::string *difference) const
{
    const std::vector<SimulatedNode> &nodes = m_network.nodes();
    for (std::size_t a = 0; a < nodes.size(); ++a) {
        if (!nodes[a].m_running)
            continue;
        for (std::size_t b = 0; b < nodes.size(); ++b) {
            const std::optional<MemberRecord> record =
                    nodes[a].m_state.m_table.find(keyOf(nodes[b].m_id), m_network.now());
            const bool agrees = nodes[b].m_running
                    ? record == nodes[b].m_state.m_self && (a == b || !isRemoved(a, b))
                    : isRemoved(a, b);
            if (agrees)
                continue;
            if (difference) {
                *difference = nodes[a].m_id.m_address + " sees " + nodes[b].m_id.m_address + " as "
                        + (record ? toText(record->m_state) : "unknown");
            }
            return false;
        }
    }
    return true;
}

} // namespace chervilmount::simulation
