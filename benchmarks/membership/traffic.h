#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chervilmount::measurements {

/**
 * Control bounds per node (design, section 1.4). The bound for bytes is applied to what a node
 * sends and to what it receives, each with the overhead of ZeroMQ and TCP.
 */
constexpr double BytesPerSecondBound = 10000;
constexpr double CoreShareBound = 0.047;
constexpr double MemoryBound = 64e6;

/** Record changes a second at the target size: 11,000 restarts a day with four changes each. */
constexpr double TargetChangesPerSecond = 11000.0 * 4 / 86400;

/** Fleet of one full-size failure domain and others that consist only of their bridges. */
struct FleetShape
{
    std::size_t m_nodes = 0;
    /** Total number of failure domains. */
    std::size_t m_domains = 10;
    std::size_t m_bridgeLinks = 0;
};

/** Bytes with overhead per second, and messages per second, of the nodes of the large domain. */
struct Traffic
{
    double m_sentMean = 0;
    /** Mean over time for the bridge that sends or receives the most. */
    double m_sentBridge = 0;
    double m_receivedBridge = 0;
    double m_messagesMean = 0;
    double m_messagesBridge = 0;
    /** Highest number of bytes that any node sent in one second. */
    double m_peak = 0;
    /** All bytes that crossed between failure domains, per second, both directions. */
    double m_betweenDomains = 0;
};

/** Measures a fleet without faults, with record changes at the given rate. */
Traffic measureTraffic(const FleetShape &shape, double changesPerSecond,
                       std::chrono::seconds duration);

/** Cost of one event. */
struct EventCost
{
    Traffic m_traffic;
    /** Time until all running nodes of the domain agree. */
    std::chrono::milliseconds m_agreement{0};
    /** Bytes sent in excess of the steady state, per node of the domain. */
    double m_extraBytes = 0;
};

/** Measures a simultaneous crash of several nodes of the domain. */
EventCost measureCrash(const FleetShape &shape, std::size_t crashed);

/** Measures a partition of the domain for the given time, during which both sides change. */
EventCost measureCut(const FleetShape &shape, std::chrono::seconds duration);

/** Measures the restart of one node of the domain with an empty table. */
EventCost measureRestart(const FleetShape &shape);

/** Measures the simultaneous start of all nodes with the store up; domains have equal sizes. */
EventCost measureMassStart(std::size_t nodes, std::size_t domains);

} // namespace chervilmount::measurements
