#pragma once

#include "membership/membership.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervilmount::simulation {

using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Number of message types of the membership package. */
constexpr std::size_t PayloadTypes = std::variant_size_v<membership::Payload>;

/** Messages and bytes, by message type in the order of membership::Payload. */
struct TrafficCount
{
    std::array<std::uint64_t, PayloadTypes> m_messages{};
    std::array<std::uint64_t, PayloadTypes> m_bytes{};

    std::uint64_t messages() const;
    std::uint64_t bytes() const;
};

/** One node of the virtual network. */
struct SimulatedNode
{
    membership::NodeId m_id;
    membership::MembershipSettings m_settings;
    membership::MembershipState m_state;
    bool m_running = false;
    /** While set, the process is paused and incoming messages are deferred. */
    std::optional<TimePoint> m_pausedUntil;
    /** Only nodes of the same group reach each other. */
    int m_group = 0;
    TimePoint m_wakeUpAt;
    TrafficCount m_sent;
    TrafficCount m_received;
    /** Highest number of bytes sent in one second. */
    std::uint64_t m_peakBytes = 0;
    std::uint64_t m_secondBytes = 0;
    std::int64_t m_second = 0;
    /** Bytes sent to nodes of other failure domains. */
    std::uint64_t m_betweenDomains = 0;
};

/**
 * Runs nodes with the production protocol code on a network in virtual time with delay, reordering,
 * loss, partitions, pauses, crashes and restarts, and a table service for the seed rows. The run is
 * determined by the seed.
 */
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed);

    /** Adds a node that starts at the given time. @returns its index. */
    std::size_t addNode(membership::NodeId id, membership::MembershipSettings settings);

    /** Starts a node, or restarts it after a crash. */
    void start(std::size_t node, std::uint64_t incarnation);
    /** Gives a node a member table instead of letting it bootstrap; for large benchmarks. */
    void startWithTable(std::size_t node, const std::vector<membership::MemberRecord> &records);
    void crash(std::size_t node);
    void pause(std::size_t node, Milliseconds duration);
    /** Applies an event to a node now. */
    void apply(std::size_t node, const membership::Event &event);
    /** Blocks messages from one node to another. */
    void block(std::size_t from, std::size_t to) { m_blocked[{from, to}] = true; }
    /** Removes all groups and blocks. */
    void heal();

    void runUntil(TimePoint time);

    TimePoint now() const { return m_now; }
    std::vector<SimulatedNode> &nodes() { return m_nodes; }
    const std::vector<SimulatedNode> &nodes() const { return m_nodes; }
    bool canReach(std::size_t from, std::size_t to) const;

    /** Appends a line to the trace. */
    void trace(const std::string &line);
    const std::vector<std::string> &traceLines() const { return m_trace; }

    double m_loss = 0;
    Milliseconds m_shortestDelay{1};
    Milliseconds m_longestDelay{20};
    bool m_storeUp = true;
    /** Only nodes of this group reach the store. */
    int m_storeGroup = 0;
    /** Records member and domain changes in the trace. */
    bool m_traceChanges = false;
    std::uint64_t m_storeReads = 0;
    std::uint64_t m_storeWrites = 0;

private:
    enum class Kind {
        WakeUp,
        Message,
        Resume,
        Seeds,
    };

    struct Occurrence
    {
        TimePoint m_at;
        std::uint64_t m_order = 0;
        Kind m_kind = Kind::WakeUp;
        std::size_t m_node = 0;
        std::size_t m_from = 0;
        std::size_t m_slot = 0;

        bool operator>(const Occurrence &other) const
        {
            return std::tie(m_at, m_order) > std::tie(other.m_at, other.m_order);
        }
    };

    void schedule(TimePoint at, Kind kind, std::size_t node, std::size_t from = 0,
                  std::size_t slot = 0);
    void carryOut(std::size_t node, membership::Effects effects);
    void sendMessage(std::size_t from, membership::Send send);
    void accessStore(std::size_t node, const membership::StoreOperation &operation);
    void writeSeed(const membership::WriteSeed &write);
    void handle(const Occurrence &occurrence);
    void traceEffects(std::size_t node, const membership::Effects &effects);
    Milliseconds delay();

    std::mt19937_64 m_random;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::vector<SimulatedNode> m_nodes;
    std::unordered_map<std::string, std::size_t> m_addresses;
    std::priority_queue<Occurrence, std::vector<Occurrence>, std::greater<>> m_occurrences;
    std::vector<membership::Payload> m_payloads;
    std::vector<std::size_t> m_freePayloads;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_blocked;
    std::map<std::string, membership::SeedRow> m_seeds;
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_trace;
};

} // namespace chervilmount::simulation
