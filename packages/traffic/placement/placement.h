#pragma once

#include "routing/choice/candidate.h"
#include "routing/outlier/outlier.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace chervilmount::traffic {

/** Settings of the selection of a backend server. */
struct PlacementSettings
{
    routing::OutlierSettings m_outlier;
    /** Additional wait that is accepted to avoid the hop over another node. */
    std::chrono::milliseconds m_nodePenalty{2};
    /** Additional wait that is accepted to stay in the own failure domain, because traffic between
     * failure domains is charged. */
    std::chrono::milliseconds m_domainPenalty{10};
    /** Fraction of the usual wait that is expected for a call of the top priority, which goes to
     * the front of the queue and so may use the fastest backend server although it is busy. */
    double m_topPriorityWaitShare = 0.2;
    /** Additional wait that is accepted to stay in the own region, because the link between regions
     * has little bandwidth and is expensive. */
    std::chrono::milliseconds m_regionPenalty{120};
    /** Number of random targets of each place that are compared (power of two choices). If many
     * nodes chose the best of all targets by the same reports, they would all send their calls
     * there until the next reports. */
    std::size_t m_candidatesPerPlace = 2;
    /** Backend servers are compared by the hold times of the same routes. */
    bool m_usesRelativeHold = true;
    /** Fraction of calls sent to a random target of the own region. Otherwise a target that was
     * measured as slow would get no calls, and its measurement would never be updated. */
    double m_explorationShare = 0.02;
};

/** Last reported load of a backend server. */
struct TargetLoad
{
    int m_limit = 0;
    int m_running = 0;
    int m_waiting = 0;
    /** Moving average of the time that a run holds a slot, in seconds; 0 if unknown. */
    double m_holdSeconds = 0.0;
    /** Hold time relative to runs of the same routes at all backend servers; 0 if unknown.
     * @see RelativeHoldTime */
    double m_relativeHold = 0.0;
};

/** A node and its backend server, as seen by a calling node. */
struct Target
{
    /** Name of the node; empty for this node. */
    std::string m_node;
    routing::Place m_place = routing::Place::SameFailureDomain;
    TargetLoad m_load;
    /** Calls sent there since the load was reported. */
    int m_sentSinceReport = 0;
    /** The node has missed a status. */
    bool m_isSilent = false;
    routing::OutlierState m_outlier;
};

/** A call for which a target is to be selected. */
struct PlacementRequest
{
    /** Names of nodes that have already been tried. */
    std::span<const std::string> m_tried;
    /** The call has the top priority and goes to the front of every queue. */
    bool m_goesFirst = false;
    /** Average time that runs of its route hold a slot, in seconds; 0 if unknown. */
    double m_holdSeconds = 0.0;
};

/** A selected target. */
struct Placement
{
    std::size_t m_index = 0;
    /** Expected queueing time before the run starts. */
    std::chrono::nanoseconds m_expectedWait{0};
};

/**
 * Selects the target with the lowest expected latency, where a hop to another node, failure domain
 * or region counts as an additional wait. Ejected and silent targets are selected only if all are.
 * @returns nothing if there is no target left.
 * @see Mitzenmacher: How useful is old information? (2000), on load balancing with stale reports
 */
std::optional<Placement> choosePlacement(std::span<const Target *const> targets,
                                         const PlacementRequest &request,
                                         const PlacementSettings &settings, std::mt19937_64 &random,
                                         std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
