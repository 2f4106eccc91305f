#pragma once

#include "overload/names/nametable.h"
#include "overload/threshold/carriedthreshold.h"
#include "routing/outlier/outlier.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::routing {

/** Location of a backend server relative to the calling node. */
enum class Place { SameFailureDomain, SameRegion, OtherRegion };
constexpr int Places = 3;

/** Maximum number of candidates that one decision considers. */
constexpr std::size_t LargestSubset = 64;

/** A backend server as listed in the member table. */
struct Member
{
    std::string m_nodeId;
    Place m_place = Place::SameFailureDomain;
    int m_slots = 1;
    /** The node has announced that it leaves, or its failure domain is unreachable. */
    bool m_excluded = false;
};

/** A backend server of the subset and its state as seen by this node. */
struct Candidate
{
    Member m_member;
    std::chrono::steady_clock::time_point m_appearedAt;
    /** Calls of this node that have not ended. */
    int m_inFlight = 0;
    /** Load reported with the latest response. @see overload::carriedLoad */
    double m_load = 0.0;
    std::chrono::steady_clock::time_point m_loadAt;
    OutlierState m_outlier;
    /** Thresholds reported with responses, indexed by the route's number. */
    std::vector<overload::CarriedThreshold> m_thresholds;
};

/** Settings of the selection of a backend server. */
struct RoutingSettings
{
    OutlierSettings m_outlier;
    std::size_t m_subsetSize = 16;
    /** Initial weight of a new backend server. */
    double m_firstWeight = 0.1;
    /** Time until a new backend server has its full weight. */
    std::chrono::nanoseconds m_slowStart = std::chrono::seconds{10};
    /** Half-life of the reported load. */
    std::chrono::nanoseconds m_loadHalfLife = std::chrono::milliseconds{200};
};

/** Candidates of one service at one calling node. */
struct ServiceCandidates
{
    /** Ordered by place. */
    std::vector<Candidate> m_candidates;
    /** When the last probe above the threshold was sent, indexed by the route's number. */
    std::vector<std::chrono::steady_clock::time_point> m_lastProbes;
};

/** @returns the weight in the random selection; grows from the initial weight to 1 during the slow
 * start. */
double drawWeight(const Candidate &candidate, const RoutingSettings &settings,
                  std::chrono::steady_clock::time_point now);

/** @returns (own calls in flight + decayed reported load) / slots. */
double loadPerSlot(const Candidate &candidate, const RoutingSettings &settings,
                   std::chrono::steady_clock::time_point now);

/** @returns the threshold of the candidate's subtree for a route. */
overload::Rank candidateThreshold(const Candidate &candidate, overload::NameNumber route,
                                  std::chrono::steady_clock::time_point now);

/**
 * Threshold of the service for a route, from the candidates that can be chosen and have confirmed
 * theirs lately: HighestRank if one of them does not shed at all, so that calls go there; otherwise
 * the higher of two medians, that of the nearest place, where the calls go, and that of all, since
 * calls go on to other places if the nearest backend server hangs. The highest of many noisy values
 * would admit too much. Without any fresh value, the highest of the aged ones.
 */
overload::Rank serviceThreshold(const ServiceCandidates &candidates, overload::NameNumber route,
                                std::chrono::steady_clock::time_point now);

/**
 * Decides whether a request is forwarded to the service. Called at the entry node, and at the node
 * of a backend server for each service that the backend server calls, before any work is done.
 */
overload::ThresholdDecision decideSend(ServiceCandidates &candidates, overload::NameNumber route,
                                       overload::Rank rank,
                                       std::chrono::steady_clock::time_point now,
                                       std::mt19937_64 &random);

} // namespace chervilmount::routing
