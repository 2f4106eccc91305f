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

/** Settings of the choice of a backend server. */
struct PlacementSettings
{
    routing::OutlierSettings m_outlier;
    /** Wait that is accepted to stay on the own machine, which saves the way over another node. */
    std::chrono::milliseconds m_nodePenalty{2};
    /** Wait that is accepted to stay in the own failure domain, since bytes between them cost. */
    std::chrono::milliseconds m_domainPenalty{10};
    /** Part of the usual wait that a call which goes first in the queue expects: it may take the
     * fastest backend server although that is busy. */
    double m_firstWaitShare = 0.2;
    /** Wait that is accepted to stay in the own region, whose link is narrow and dear. */
    std::chrono::milliseconds m_regionPenalty{120};
    /** Targets that are compared of each place, drawn at random. Where many nodes chose the best of
     * all by the same reports, they would all send their calls there until the next reports. */
    std::size_t m_compared = 2;
    /** Part of the calls that take a target of the own region at random. Targets that look slow
     * get no calls otherwise, and would look slow for ever. */
    double m_exploredShare = 0.02;
};

/** Load of a backend server as its node last reported it. */
struct TargetLoad
{
    int m_limit = 0;
    int m_running = 0;
    int m_waiting = 0;
    /** Average time that a run holds a slot, in seconds; 0 if unknown. */
    double m_holdSeconds = 0.0;
    /** The same relative to runs of the same routes at all backend servers; 0 if unknown. */
    double m_relativeHold = 0.0;
};

/** A node with the backend server beside it, as seen by a calling node. */
struct Target
{
    /** Name of the node; empty for the deciding node itself. */
    std::string m_node;
    routing::Place m_place = routing::Place::SameFailureDomain;
    TargetLoad m_load;
    /** Calls sent there since the load was reported. */
    int m_sentSinceReport = 0;
    routing::OutlierState m_outlier;
};

/** A call that needs a place. */
struct PlacementRequest
{
    /** Names of nodes that have already been tried. */
    std::span<const std::string> m_tried;
    /** The call is of the most important ones, which are first in every queue. */
    bool m_goesFirst = false;
    /** Average time that runs of its route hold a slot, in seconds; 0 if unknown. */
    double m_holdSeconds = 0.0;
};

/** A chosen target. */
struct Placement
{
    std::size_t m_index = 0;
    /** Wait that is expected there before the run starts. */
    std::chrono::nanoseconds m_expectedWait{0};
};

/**
 * Chooses the target that is expected to answer first, where leaving the failure domain or the
 * region counts as an additional wait. Ejected targets are chosen only if all are ejected.
 * @returns nothing if there is no target left.
 * @see Mitzenmacher: How useful is old information? (2000), on choosing by reports of some age
 */
std::optional<Placement> choosePlacement(std::span<const Target *const> targets,
                                         const PlacementRequest &request,
                                         const PlacementSettings &settings, std::mt19937_64 &random,
                                         std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
