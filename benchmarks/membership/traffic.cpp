#include "benchmarks/membership/traffic.h"

#include "membershipsimulation/simulation.h"

#include <algorithm>

namespace chervilmount::measurements {

using namespace membership;
using namespace simulation;

namespace {

constexpr const char *LargeDomain = "domain-0";
/** Warm-up time before a measurement, in which the links of a new fleet are established. */
constexpr std::chrono::seconds SettleTime{12};

/** A simulated fleet in virtual time; the nodes of the large domain come first. */
class Fleet
{
public:
    explicit Fleet(const FleetShape &shape);

    void runFor(Milliseconds time) { m_network.runUntil(m_network.now() + time); }
    void changeRandomNode(std::size_t first, std::size_t last);
    void runWithChanges(double changesPerSecond, std::chrono::seconds duration);
    void resetTraffic();
    Traffic traffic(std::chrono::duration<double> duration) const;
    double sentBytes() const;
    Milliseconds runUntilAgreed(Milliseconds longest);
    bool agrees() const;

    FleetShape m_shape;
    Simulation m_network;
    std::mt19937_64 m_random{7};
};

MemberRecord recordOf(const NodeId &id)
{
    MemberRecord record;
    record.m_id = id;
    record.m_incarnation = 1;
    record.m_version = 1;
    record.m_state = MemberState::Serving;
    record.m_service = "service-123";
    record.m_slots = 50;
    return record;
}

Fleet::Fleet(const FleetShape &shape)
    : m_shape(shape)
    , m_network(shape.m_nodes)
{
    std::vector<MemberRecord> records;
    MembershipSettings settings;
    if (shape.m_bridgeLinks != 0)
        settings.m_bridgeLinks = shape.m_bridgeLinks;
    const auto add = [&](const std::string &domain, std::size_t domainIndex, std::size_t node) {
        const NodeId id{domain,
                        "10." + std::to_string(domainIndex) + "." + std::to_string(node / 250) + "."
                                + std::to_string(node % 250) + ":7400"};
        m_network.addNode(id, settings);
        records.push_back(recordOf(id));
    };
    for (std::size_t node = 0; node < shape.m_nodes; ++node)
        add(LargeDomain, 0, node);
    for (std::size_t domain = 1; domain < shape.m_domains; ++domain) {
        for (std::size_t node = 0; node < BridgesPerDomain; ++node)
            add("domain-" + std::to_string(domain), domain, node);
    }
    for (std::size_t node = 0; node < records.size(); ++node)
        m_network.startWithTable(node, records);
    runFor(SettleTime);
    resetTraffic();
}

void Fleet::changeRandomNode(std::size_t first, std::size_t last)
{
    const std::size_t node = first + m_random() % (last - first);
    const std::uint32_t slots = static_cast<std::uint32_t>(1 + m_random() % 100);
    m_network.apply(node, BackendAnnounced{"service-123", slots});
}

void Fleet::runWithChanges(double changesPerSecond, std::chrono::seconds duration)
{
    const std::size_t count = static_cast<std::size_t>(changesPerSecond * duration.count());
    const std::size_t all = m_network.nodes().size();
    for (std::size_t i = 0; i < count; ++i) {
        // The large domain makes its share of the changes; the others arrive over the bridges.
        const bool inside = m_shape.m_domains == 1 || i % m_shape.m_domains == 0;
        changeRandomNode(inside ? 0 : m_shape.m_nodes, inside ? m_shape.m_nodes : all);
        runFor(std::chrono::duration_cast<Milliseconds>(duration) / static_cast<int>(count));
    }
    if (count == 0)
        runFor(duration);
}

void Fleet::resetTraffic()
{
    for (SimulatedNode &node : m_network.nodes()) {
        node.m_sent = {};
        node.m_received = {};
        node.m_peakBytes = 0;
        node.m_secondBytes = 0;
        node.m_betweenDomains = 0;
    }
}

double withOverhead(const TrafficCount &count)
{
    return static_cast<double>(count.bytes() + count.messages() * TransportOverhead);
}

double Fleet::sentBytes() const
{
    double sum = 0;
    for (std::size_t node = 0; node < m_shape.m_nodes; ++node)
        sum += withOverhead(m_network.nodes()[node].m_sent);
    return sum / static_cast<double>(m_shape.m_nodes);
}

Traffic Fleet::traffic(std::chrono::duration<double> duration) const
{
    Traffic result;
    const double seconds = duration.count();
    for (std::size_t index = 0; index < m_network.nodes().size(); ++index) {
        const SimulatedNode &node = m_network.nodes()[index];
        result.m_betweenDomains += static_cast<double>(node.m_betweenDomains) / seconds;
        if (index >= m_shape.m_nodes)
            continue;
        const double sent = withOverhead(node.m_sent) / seconds;
        const double messages = static_cast<double>(node.m_sent.messages()) / seconds;
        result.m_sentMean += sent / static_cast<double>(m_shape.m_nodes);
        result.m_messagesMean += messages / static_cast<double>(m_shape.m_nodes);
        result.m_sentBridge = std::max(result.m_sentBridge, sent);
        result.m_messagesBridge = std::max(result.m_messagesBridge, messages);
        result.m_receivedBridge =
                std::max(result.m_receivedBridge, withOverhead(node.m_received) / seconds);
        result.m_peak = std::max(result.m_peak, static_cast<double>(node.m_peakBytes));
    }
    return result;
}

bool Fleet::agrees() const
{
    std::optional<std::uint64_t> digest;
    for (std::size_t node = 0; node < m_network.nodes().size(); ++node) {
        if (!m_network.nodes()[node].m_running)
            continue;
        const std::uint64_t own = m_network.nodes()[node].m_state.m_table.digest();
        if (digest.value_or(own) != own)
            return false;
        digest = own;
    }
    return true;
}

Milliseconds Fleet::runUntilAgreed(Milliseconds longest)
{
    const TimePoint begin = m_network.now();
    while (!agrees() && m_network.now() - begin < longest)
        runFor(Milliseconds(100));
    return std::chrono::duration_cast<Milliseconds>(m_network.now() - begin);
}

} // namespace

Traffic measureTraffic(const FleetShape &shape, double changesPerSecond,
                       std::chrono::seconds duration)
{
    Fleet fleet(shape);
    fleet.runWithChanges(changesPerSecond, duration);
    return fleet.traffic(duration);
}

EventCost measureCrash(const FleetShape &shape, std::size_t crashed)
{
    constexpr std::chrono::seconds Window{20};
    Fleet fleet(shape);
    fleet.runFor(Window);
    const double quiet = fleet.sentBytes();
    fleet.resetTraffic();
    const TimePoint begin = fleet.m_network.now();
    for (std::size_t node = 0; node < crashed; ++node)
        fleet.m_network.crash(node);
    EventCost cost;
    // All nodes still agree on the old table until the first failure is detected.
    const std::size_t present = fleet.m_shape.m_nodes - crashed;
    const SimulatedNode &observer = fleet.m_network.nodes()[crashed];
    while (fleet.m_network.now() - begin < Window) {
        fleet.runFor(Milliseconds(100));
        const bool known = observer.m_state.m_table.domain(LargeDomain).m_presentMembers == present;
        if (known && fleet.agrees() && cost.m_agreement == Milliseconds(0)) {
            cost.m_agreement =
                    std::chrono::duration_cast<Milliseconds>(fleet.m_network.now() - begin);
        }
    }
    cost.m_extraBytes = fleet.sentBytes() - quiet;
    cost.m_traffic = fleet.traffic(Window);
    return cost;
}

EventCost measureCut(const FleetShape &shape, std::chrono::seconds duration)
{
    Fleet fleet(shape);
    for (std::size_t node = 0; node < shape.m_nodes; ++node)
        fleet.m_network.nodes()[node].m_group = 1;
    fleet.runWithChanges(TargetChangesPerSecond, duration);
    fleet.m_network.heal();
    fleet.resetTraffic();
    constexpr std::chrono::seconds Window{20};
    EventCost cost;
    cost.m_agreement = fleet.runUntilAgreed(Window);
    fleet.runFor(Window - cost.m_agreement);
    cost.m_traffic = fleet.traffic(Window);
    return cost;
}

EventCost measureRestart(const FleetShape &shape)
{
    constexpr std::chrono::seconds Window{10};
    Fleet fleet(shape);
    fleet.runFor(Window);
    const double quiet = fleet.sentBytes();
    fleet.resetTraffic();
    SimulatedNode &node = fleet.m_network.nodes()[0];
    node.m_settings.m_peers = {fleet.m_network.nodes()[1].m_id};
    fleet.m_network.start(0, 2);
    EventCost cost;
    cost.m_agreement = fleet.runUntilAgreed(Window);
    fleet.runFor(Window - cost.m_agreement);
    cost.m_extraBytes = fleet.sentBytes() - quiet;
    cost.m_traffic = fleet.traffic(Window);
    return cost;
}

EventCost measureMassStart(std::size_t nodes, std::size_t domains)
{
    Fleet fleet({1, 1, 0});
    Simulation network(nodes);
    fleet.m_shape = {nodes * domains, domains, 0};
    for (std::size_t node = 0; node < nodes * domains; ++node) {
        network.addNode(
                {"domain-" + std::to_string(node % domains),
                 "10.0." + std::to_string(node / 250) + "." + std::to_string(node % 250) + ":7400"},
                {});
    }
    fleet.m_network = std::move(network);
    for (std::size_t node = 0; node < nodes * domains; ++node)
        fleet.m_network.start(node, 1);
    constexpr std::chrono::seconds Window{60};
    EventCost cost;
    const TimePoint begin = fleet.m_network.now();
    while (fleet.m_network.now() - begin < Window) {
        fleet.runFor(Milliseconds(100));
        const bool complete = fleet.m_network.nodes()[0].m_state.m_table.size() == nodes * domains;
        if (complete && fleet.agrees()) {
            cost.m_agreement =
                    std::chrono::duration_cast<Milliseconds>(fleet.m_network.now() - begin);
            break;
        }
    }
    cost.m_extraBytes = fleet.sentBytes();
    cost.m_traffic = fleet.traffic(fleet.m_network.now() - begin);
    return cost;
}

} // namespace chervilmount::measurements
