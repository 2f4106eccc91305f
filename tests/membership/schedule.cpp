#include "membership/schedule.h"

#include "membership/checker.h"

#include <algorithm>

namespace chervilmount::simulation {

using namespace membership;

namespace {

/** One schedule: a random deployment and a random sequence of faults. */
class Schedule
{
public:
    Schedule(std::uint64_t seed, DisabledRule disabledRule, bool trace);

    ScheduleResult run();

private:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    Milliseconds between(int from, int to)
    {
        return Milliseconds(from
                            + static_cast<int>(below(static_cast<std::size_t>(to - from + 1))));
    }

    void addNodes(DisabledRule disabledRule);
    void startNode(std::size_t node);
    void runFor(Milliseconds time);
    std::optional<std::size_t> randomNode(bool running);
    std::size_t runningNodes() const;
    void form();
    void runCalmFaults();
    void runMixedFaults();
    void mixedFault();
    void crashTogether(std::size_t count);
    void cutDomain();
    void splitNodes();
    void blockOneWay();
    void leave(std::size_t node, bool expect);
    void endLeave();
    void converge();

    std::mt19937_64 m_random;
    Simulation m_network;
    std::vector<std::string> m_domains;
    std::vector<Checker> m_checker;
    std::optional<std::size_t> m_leaving;
    std::uint64_t m_clock = 1000000;
};

Schedule::Schedule(std::uint64_t seed, DisabledRule disabledRule, bool trace)
    : m_random(seed)
    , m_network(seed + 1)
{
    m_network.m_traceChanges = trace;
    m_network.m_longestDelay = between(2, 60);
    m_network.m_storeUp = chance(0.8);
    m_network.m_loss = chance(0.5) ? 0 : static_cast<double>(below(6)) / 100;
    addNodes(disabledRule);
    m_checker.emplace_back(m_network);
}

void Schedule::addNodes(DisabledRule disabledRule)
{
    const std::size_t domains = 1 + below(4);
    const std::size_t bridgeLinks = below(2);
    for (std::size_t domain = 0; domain < domains; ++domain) {
        m_domains.push_back("d" + std::to_string(domain));
        std::size_t count = 1 + below(domains == 1 ? 6 : 4);
        // Only in domains of more than 9 nodes are some nodes not neighbours of each other.
        if (domain == 0 && chance(0.15))
            count = 12 + below(13);
        for (std::size_t node = 0; node < count; ++node) {
            MembershipSettings settings;
            settings.m_disabledRule = disabledRule;
            settings.m_bridgeLinks = bridgeLinks;
            // Without the store, the first nodes are named in the settings.
            if (!m_network.m_storeUp)
                settings.m_peers = {{"", "0.0:1"}, {"", domains > 1 ? "1.0:1" : "0.1:1"}};
            m_network.addNode(
                    {m_domains.back(), std::to_string(domain) + "." + std::to_string(node) + ":1"},
                    settings);
        }
    }
}

void Schedule::startNode(std::size_t node)
{
    // One restart in eight has a clock that is behind that of the previous process.
    m_clock += 1000;
    m_network.start(node, chance(0.125) ? m_clock / 2 : m_clock);
}

void Schedule::runFor(Milliseconds time)
{
    const TimePoint end = m_network.now() + time;
    while (m_network.now() < end) {
        m_network.runUntil(std::min(end, m_network.now() + SampleInterval));
        m_checker.front().sample();
    }
}

std::size_t Schedule::runningNodes() const
{
    const std::vector<SimulatedNode> &nodes = m_network.nodes();
    return static_cast<std::size_t>(std::count_if(
            nodes.begin(), nodes.end(), [](const SimulatedNode &node) { return node.m_running; }));
}

std::optional<std::size_t> Schedule::randomNode(bool running)
{
    std::vector<std::size_t> candidates;
    for (std::size_t node = 0; node < m_network.nodes().size(); ++node) {
        if (m_network.nodes()[node].m_running == running && m_leaving != node)
            candidates.push_back(node);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[below(candidates.size())];
}

void Schedule::form()
{
    const bool together = chance(0.5);
    for (std::size_t node = 0; node < m_network.nodes().size(); ++node) {
        startNode(node);
        if (!together)
            runFor(between(0, 1000));
    }
    // Up to a minute, because without the store a node may need several searches to find a peer.
    for (int i = 0; i < 60 && !m_checker.front().allAgree(); ++i)
        runFor(Milliseconds(1000));
}

void Schedule::leave(std::size_t node, bool expect)
{
    m_network.trace("leave " + m_network.nodes()[node].m_id.m_address);
    m_network.apply(node, LeaveStarted{});
    m_leaving = node;
    if (expect)
        m_checker.front().expectLeaving(node);
}

void Schedule::endLeave()
{
    if (!m_leaving)
        return;
    if (m_network.nodes()[*m_leaving].m_running) {
        m_network.apply(*m_leaving, LeaveFinished{});
        m_network.crash(*m_leaving);
    }
    m_leaving.reset();
}

/** Leaves and crashes from a converged state, so that detection times can be measured. */
void Schedule::runCalmFaults()
{
    for (int i = 0; i < 2 && m_checker.front().allAgree() && runningNodes() > 1; ++i) {
        if (chance(0.5)) {
            leave(*randomNode(true), true);
            runFor(between(4000, 6000));
            endLeave();
            runFor(between(2000, 4000));
            continue;
        }
        const std::size_t count = chance(0.7) ? 1 : 1 + below(runningNodes() - 1);
        crashTogether(count);
        runFor(count == 1 ? Milliseconds(21000) : Milliseconds(46000));
        m_checker.front().abandonExpectations();
    }
}

/**
 * Crashes several nodes at once. In a domain with rings at most half of them, because the detection
 * of more takes several rounds.
 */
void Schedule::crashTogether(std::size_t count)
{
    std::map<std::string, std::size_t> running;
    for (const SimulatedNode &node : m_network.nodes())
        running[node.m_id.m_failureDomain] += node.m_running ? 1 : 0;
    std::map<std::string, std::size_t> crashed;
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t node = *randomNode(true);
        const std::string &domain = m_network.nodes()[node].m_id.m_failureDomain;
        const bool hasRings = running[domain] > MaximumNeighbours + 1;
        if (hasRings && 2 * (crashed[domain] + 1) > running[domain])
            continue;
        ++crashed[domain];
        m_network.crash(node);
        m_checker.front().expectFailure(node);
    }
}

void Schedule::cutDomain()
{
    const std::string &domain = m_domains[below(m_domains.size())];
    m_network.trace("cut " + domain);
    for (SimulatedNode &node : m_network.nodes()) {
        if (node.m_id.m_failureDomain == domain)
            node.m_group = 1;
    }
    if (chance(0.3))
        m_network.m_storeGroup = 1;
}

void Schedule::splitNodes()
{
    std::string line = "split:";
    for (SimulatedNode &node : m_network.nodes()) {
        node.m_group = chance(0.5) ? 1 : 0;
        line += node.m_group == 1 ? " " + node.m_id.m_address : "";
    }
    m_network.trace(line);
}

void Schedule::blockOneWay()
{
    const std::size_t from = below(m_network.nodes().size());
    const std::size_t to = below(m_network.nodes().size());
    m_network.trace("block " + m_network.nodes()[from].m_id.m_address + " to "
                    + m_network.nodes()[to].m_id.m_address);
    m_network.block(from, to);
}

void Schedule::mixedFault()
{
    const std::optional<std::size_t> running = randomNode(true);
    const std::optional<std::size_t> stopped = randomNode(false);
    const std::size_t kind = below(9);
    if (kind == 0)
        cutDomain();
    else if (kind == 1)
        splitNodes();
    else if (kind == 2)
        blockOneWay();
    else if (kind == 3)
        m_network.m_loss = static_cast<double>(below(30)) / 100;
    else if (kind == 4 && runningNodes() > 1)
        m_network.crash(*running);
    else if (kind == 5 && stopped)
        startNode(*stopped);
    else if (kind == 6 && running)
        m_network.pause(*running, between(500, 15000));
    else if (kind == 7 && running && !m_leaving && runningNodes() > 1)
        leave(*running, false);
    else if (kind == 8)
        endLeave();
}

void Schedule::runMixedFaults()
{
    const std::size_t count = 2 + below(5);
    for (std::size_t i = 0; i < count; ++i) {
        mixedFault();
        runFor(between(100, 8000));
        if (chance(0.3))
            m_network.heal();
    }
}

void Schedule::converge()
{
    endLeave();
    for (std::size_t node = 0; node < m_network.nodes().size(); ++node) {
        if (m_network.nodes()[node].m_pausedUntil)
            runFor(std::chrono::duration_cast<Milliseconds>(*m_network.nodes()[node].m_pausedUntil
                                                            - m_network.now()));
    }
    m_network.heal();
    m_network.m_loss = 0;
    m_network.m_storeUp = true;
    Checker &checker = m_checker.front();
    const TimePoint end = m_network.now();
    while (!checker.allAgree() && m_network.now() - end <= checker.m_times.m_convergence)
        runFor(Milliseconds(500));
    std::string difference;
    checker.m_result.m_convergence =
            std::chrono::duration_cast<Milliseconds>(m_network.now() - end);
    if (!checker.allAgree(&difference)) {
        checker.m_result.m_violations.push_back("no agreement: " + difference);
        m_network.trace("VIOLATION no agreement: " + difference);
    }
}

ScheduleResult Schedule::run()
{
    form();
    if (chance(0.5))
        runCalmFaults();
    else
        runMixedFaults();
    converge();
    m_checker.front().m_result.m_trace = m_network.traceLines();
    return m_checker.front().m_result;
}

} // namespace

ScheduleResult runSchedule(std::uint64_t seed, DisabledRule disabledRule, bool trace)
{
    return Schedule(seed, disabledRule, trace).run();
}

void merge(ScheduleResult &sum, const ScheduleResult &result)
{
    sum.m_violations.insert(sum.m_violations.end(), result.m_violations.begin(),
                            result.m_violations.end());
    sum.m_convergence = std::max(sum.m_convergence, result.m_convergence);
    sum.m_removal = std::max(sum.m_removal, result.m_removal);
    sum.m_leaving = std::max(sum.m_leaving, result.m_leaving);
    sum.m_failure = std::max(sum.m_failure, result.m_failure);
    sum.m_leaves += result.m_leaves;
    sum.m_failures += result.m_failures;
}

} // namespace chervilmount::simulation
