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

/** A failure domain in full size among others that have only their bridges. */
struct FleetShape
{
    std::size_t m_nodes = 0;
    /** Failure domains in all. */
    std::size_t m_domains = 10;
    std::size_t m_bridgeLinks = 0;
};

/** Bytes with overhead per second, and messages per second, of the nodes of the large domain. */
struct Traffic
{
    double m_sentMean = 0;
    /** Mean over time of the bridge that sends or receives most. */
    double m_sentBridge = 0;
    double m_receivedBridge = 0;
    double m_messagesMean = 0;
    double m_messagesBridge = 0;
    /** Highest number of bytes that any node sent in one second. */
    double m_peak = 0;
    /** All bytes that crossed between failure domains, per second, both directions. */
    double m_betweenDomains = 0;
};

/** Quiet fleet, with record changes at the given rate. */
Traffic measureTraffic(const FleetShape &shape, double changesPerSecond,
                       std::chrono::seconds duration);

/** What one event costs. */
struct EventCost
{
    Traffic m_traffic;
    /** Until all running nodes of the domain agree. */
    std::chrono::milliseconds m_agreement{0};
    /** Bytes sent beyond those of a quiet fleet, per node of the domain. */
    double m_extraBytes = 0;
};

/** Several nodes of the domain crash at once. */
EventCost measureCrash(const FleetShape &shape, std::size_t crashed);

/** The domain is cut off for the given time, while both sides go on changing. */
EventCost measureCut(const FleetShape &shape, std::chrono::seconds duration);

/** One node of the domain restarts with an empty table. */
EventCost measureRestart(const FleetShape &shape);

/** All nodes start at the same moment, with the store up; every domain has the same size. */
EventCost measureMassStart(std::size_t nodes, std::size_t domains);

} // namespace chervilmount::measurements
