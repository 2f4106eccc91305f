#include "membershipsimulation/simulation.h"

#include <numeric>

namespace chervilmount::simulation {

using namespace membership;

namespace {

/** A node that starts long after the epoch, so that times before the start can be expressed. */
constexpr std::chrono::hours StartOfTime{1000};

std::uint64_t sum(const std::array<std::uint64_t, PayloadTypes> &values)
{
    return std::accumulate(values.begin(), values.end(), std::uint64_t{0});
}

void count(TrafficCount &traffic, const Payload &payload, std::size_t size)
{
    ++traffic.m_messages[payload.index()];
    traffic.m_bytes[payload.index()] += size;
}

} // namespace

std::uint64_t TrafficCount::messages() const
{
    return sum(m_messages);
}

std::uint64_t TrafficCount::bytes() const
{
    return sum(m_bytes);
}

Simulation::Simulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(StartOfTime)
{
}

std::size_t Simulation::addNode(NodeId id, MembershipSettings settings)
{
    SimulatedNode node;
    node.m_id = std::move(id);
    node.m_settings = std::move(settings);
    m_addresses[node.m_id.m_address] = m_nodes.size();
    m_nodes.push_back(std::move(node));
    return m_nodes.size() - 1;
}

void Simulation::start(std::size_t index, std::uint64_t incarnation)
{
    SimulatedNode &node = m_nodes[index];
    node.m_state = makeState(node.m_settings, node.m_id, incarnation);
    node.m_running = true;
    node.m_pausedUntil.reset();
    node.m_wakeUpAt = TimePoint::max();
    trace("start " + node.m_id.m_address);
    apply(index, Started{});
    apply(index, BackendAnnounced{"service", 50});
}

void Simulation::startWithTable(std::size_t index, const std::vector<MemberRecord> &records)
{
    SimulatedNode &node = m_nodes[index];
    node.m_state = makeState(node.m_settings, node.m_id, 1);
    node.m_state.m_self.m_state = MemberState::Serving;
    node.m_running = true;
    node.m_wakeUpAt = TimePoint::max();
    apply(index, MessageReceived{node.m_id, TablePage{0, 1, records}});
    node.m_state.m_bootstrap.m_transferred = true;
    apply(index, Started{});
}

void Simulation::crash(std::size_t node)
{
    m_nodes[node].m_running = false;
    trace("crash " + m_nodes[node].m_id.m_address);
}

void Simulation::pause(std::size_t index, Milliseconds duration)
{
    SimulatedNode &node = m_nodes[index];
    if (node.m_pausedUntil)
        return;
    node.m_pausedUntil = m_now + duration;
    schedule(*node.m_pausedUntil, Kind::Resume, index);
    trace("pause " + node.m_id.m_address + " ms=" + std::to_string(duration.count()));
}

void Simulation::apply(std::size_t index, const Event &event)
{
    carryOut(index, step(m_nodes[index].m_state, event, m_now, m_random));
}

void Simulation::heal()
{
    m_blocked.clear();
    for (SimulatedNode &node : m_nodes)
        node.m_group = 0;
    m_storeGroup = 0;
    trace("heal");
}

bool Simulation::canReach(std::size_t from, std::size_t to) const
{
    return m_nodes[from].m_group == m_nodes[to].m_group
            && (m_blocked.empty() || m_blocked.count({from, to}) == 0);
}

Milliseconds Simulation::delay()
{
    std::uniform_int_distribution<std::int64_t> uniform(m_shortestDelay.count(),
                                                        m_longestDelay.count());
    return Milliseconds(uniform(m_random));
}

void Simulation::schedule(TimePoint at, Kind kind, std::size_t node, std::size_t from,
                          std::size_t slot)
{
    m_occurrences.push({at, m_order++, kind, node, from, slot});
}

void Simulation::carryOut(std::size_t index, Effects effects)
{
    if (m_traceChanges)
        traceEffects(index, effects);
    for (Send &send : effects.m_sends)
        sendMessage(index, std::move(send));
    for (const StoreOperation &operation : effects.m_storeOperations)
        accessStore(index, operation);
    SimulatedNode &node = m_nodes[index];
    if (effects.m_wakeUpAt != node.m_wakeUpAt) {
        node.m_wakeUpAt = std::max(effects.m_wakeUpAt, m_now);
        schedule(node.m_wakeUpAt, Kind::WakeUp, index);
    }
}

void Simulation::sendMessage(std::size_t from, Send send)
{
    SimulatedNode &sender = m_nodes[from];
    const std::size_t size = encodedSize(send.m_payload);
    count(sender.m_sent, send.m_payload, size);
    const std::int64_t second =
            std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count();
    if (second != sender.m_second) {
        sender.m_second = second;
        sender.m_secondBytes = 0;
    }
    sender.m_secondBytes += size + TransportOverhead;
    sender.m_peakBytes = std::max(sender.m_peakBytes, sender.m_secondBytes);

    const auto receiver = m_addresses.find(send.m_to.m_address);
    if (send.m_to.m_failureDomain != sender.m_id.m_failureDomain)
        sender.m_betweenDomains += size + TransportOverhead;
    if (receiver == m_addresses.end() || !canReach(from, receiver->second))
        return;
    if (m_loss > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
        return;
    std::size_t slot = m_payloads.size();
    if (m_freePayloads.empty()) {
        m_payloads.push_back(std::move(send.m_payload));
    } else {
        slot = m_freePayloads.back();
        m_freePayloads.pop_back();
        m_payloads[slot] = std::move(send.m_payload);
    }
    schedule(m_now + delay(), Kind::Message, receiver->second, from, slot);
}

void Simulation::accessStore(std::size_t index, const StoreOperation &operation)
{
    const bool reached = m_storeUp && m_nodes[index].m_group == m_storeGroup;
    if (const WriteSeed *write = std::get_if<WriteSeed>(&operation)) {
        ++m_storeWrites;
        if (reached)
            writeSeed(*write);
        return;
    }
    ++m_storeReads;
    schedule(m_now + delay(), Kind::Seeds, index, 0, reached ? 1 : 0);
}

void Simulation::writeSeed(const WriteSeed &write)
{
    const std::string name = seedRowName(write.m_row);
    const auto found = m_seeds.find(name);
    if (write.m_condition == WriteSeed::Condition::Absent && found != m_seeds.end())
        return;
    if (write.m_condition == WriteSeed::Condition::Revision
        && (found == m_seeds.end() || found->second.m_revision != write.m_row.m_revision)) {
        return;
    }
    m_seeds[name] = write.m_row;
    m_seeds[name].m_revision = ++m_revision;
    trace("seed " + name + " = " + write.m_row.m_node.m_address);
}

void Simulation::handle(const Occurrence &occurrence)
{
    SimulatedNode &node = m_nodes[occurrence.m_node];
    if (occurrence.m_kind == Kind::Resume) {
        node.m_pausedUntil.reset();
        return;
    }
    if (node.m_running && node.m_pausedUntil) {
        // Deferred events are handled in the same order after the pause.
        schedule(*node.m_pausedUntil, occurrence.m_kind, occurrence.m_node, occurrence.m_from,
                 occurrence.m_slot);
        if (occurrence.m_kind == Kind::WakeUp && node.m_wakeUpAt == occurrence.m_at)
            node.m_wakeUpAt = *node.m_pausedUntil;
        return;
    }
    if (occurrence.m_kind == Kind::Message) {
        const Payload payload = std::move(m_payloads[occurrence.m_slot]);
        m_freePayloads.push_back(occurrence.m_slot);
        if (!node.m_running)
            return;
        count(node.m_received, payload, encodedSize(payload));
        apply(occurrence.m_node, MessageReceived{m_nodes[occurrence.m_from].m_id, payload});
        return;
    }
    if (!node.m_running)
        return;
    if (occurrence.m_kind == Kind::WakeUp) {
        if (node.m_wakeUpAt == occurrence.m_at)
            apply(occurrence.m_node, TimePassed{});
        return;
    }
    SeedsRead result;
    if (occurrence.m_slot == 1) {
        result.m_rows.emplace();
        for (const auto &[name, row] : m_seeds)
            result.m_rows->push_back(row);
    }
    apply(occurrence.m_node, result);
}

void Simulation::runUntil(TimePoint time)
{
    while (!m_occurrences.empty() && m_occurrences.top().m_at <= time) {
        const Occurrence occurrence = m_occurrences.top();
        m_occurrences.pop();
        m_now = std::max(m_now, occurrence.m_at);
        handle(occurrence);
    }
    m_now = time;
}

void Simulation::trace(const std::string &line)
{
    const auto time = std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch())
            - Milliseconds(StartOfTime);
    if (m_traceChanges)
        m_trace.push_back("t=" + std::to_string(time.count()) + "ms " + line);
}

void Simulation::traceEffects(std::size_t index, const Effects &effects)
{
    const std::string self = m_nodes[index].m_id.m_address;
    for (const MemberChange &change : effects.m_memberChanges) {
        const MemberRecord &record = change.m_record;
        trace(self + " member " + record.m_id.m_failureDomain + "/" + record.m_id.m_address
              + " incarnation=" + std::to_string(record.m_incarnation)
              + " version=" + std::to_string(record.m_version) + " "
              + (change.m_previousState ? toText(*change.m_previousState) : "unknown") + " -> "
              + toText(record.m_state));
    }
    for (const DomainChange &change : effects.m_domainChanges) {
        trace(self + " domain " + change.m_failureDomain
              + (change.m_reachable ? " reachable" : " unreachable"));
    }
}

} // namespace chervilmount::simulation
