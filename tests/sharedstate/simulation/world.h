#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::simulation {

using Nanoseconds = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/** A node process: its failure domain, its clock and whether it runs. */
struct SimulatedNode
{
    int m_domain = 0;
    bool m_up = true;
    std::uint64_t m_incarnation = 1;
    /** True time until which the process is stopped. */
    Nanoseconds m_pausedUntil{0};
    /** Seconds of the node's clock per true second. */
    double m_clockRate = 1.0;
    Nanoseconds m_clockOffset{0};
};

/** Probabilities and delays of the network between nodes. */
struct NetworkQuality
{
    double m_loss = 0.0;
    double m_duplicate = 0.0;
    /** Probability of a delay of up to m_longDelay. */
    double m_long = 0.0;
    Nanoseconds m_longDelay = std::chrono::seconds(3);
};

/** Virtual time, nodes, their clocks and the network between them. */
class World
{
public:
    /** @param traced whether trace() keeps its lines. */
    World(std::uint64_t seed, bool traced);

    /** Adds a node with a clock whose rate differs by up to 0.05 %. @returns its number. */
    int addNode(int domain);

    Nanoseconds now() const { return m_now; }
    TimePoint localTime(int node) const;
    std::mt19937_64 &random() { return m_random; }
    SimulatedNode &node(int number) { return m_nodes[static_cast<std::size_t>(number)]; }
    /** @returns whether the process runs and is not paused. */
    bool runs(int node) const;
    int nodeCount() const { return static_cast<int>(m_nodes.size()); }
    NetworkQuality &network() { return m_network; }

    /** @returns whether a random event of this probability happens. */
    bool chance(double probability);
    /** @returns a random duration between two values. */
    Nanoseconds between(Nanoseconds low, Nanoseconds high);

    /** Runs an action at a time, whatever the state of the nodes. */
    void after(Nanoseconds delay, std::function<void()> action);
    /** Runs an action in a node's process: dropped if the process ended, deferred while paused. */
    void afterAt(int node, Nanoseconds delay, std::function<void()> action);
    /** Repeats an action in the node's current incarnation. */
    void every(int node, Nanoseconds period, const std::function<void()> &action);
    /** Sends a message; the action runs at the receiver if the network delivers it. */
    void send(int from, int to, std::function<void()> action);

    /** Disconnects or reconnects two failure domains. */
    void setCut(int first, int second, bool cut);
    bool isCut(int first, int second) const;
    void crash(int node);
    void restart(int node);
    void pause(int node, Nanoseconds duration);

    /** Runs events until a time. */
    void run(Nanoseconds until);

    bool traced() const { return m_traced; }
    /** Records a line for the report of a failed schedule. */
    void trace(const std::string &line);
    std::string traceText() const;

private:
    struct Event
    {
        Nanoseconds m_time;
        std::uint64_t m_sequence;
        int m_node;
        std::uint64_t m_incarnation;
        std::function<void()> m_action;
        bool operator<(const Event &other) const
        {
            return m_time != other.m_time ? m_time > other.m_time : m_sequence > other.m_sequence;
        }
    };

    void push(Nanoseconds time, int node, std::uint64_t incarnation, std::function<void()> action);
    void runEvent(Event &event);
    Nanoseconds transitTime(int from, int to);

    std::mt19937_64 m_random;
    bool m_traced = false;
    Nanoseconds m_now{0};
    std::uint64_t m_sequence = 0;
    std::vector<Event> m_events;
    std::vector<SimulatedNode> m_nodes;
    std::vector<std::vector<bool>> m_cuts;
    NetworkQuality m_network;
    std::vector<std::string> m_lines;
};

} // namespace chervilmount::simulation
