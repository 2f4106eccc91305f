#pragma once

#include "traffic/treeadmission/demand.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

namespace chervilmount::traffic {

/** Settings of the admission of whole call trees. */
struct TreeAdmissionSettings
{
    /** Part of a service's usable slots that admitted requests may ask for. */
    double m_target = 0.92;
    /** Time constants with which the estimated costs are corrected. Use that swings for other
     * reasons is followed slowly downwards: with 0.5 s the lowest of its values decided, and
     * requests were turned away although there was room. @{ */
    std::chrono::milliseconds m_raiseTime{1500};
    std::chrono::milliseconds m_lowerTime{4000};
    /** @} */
    /** Bounds of the correction. @{ */
    double m_leastCorrection = 0.5;
    double m_mostCorrection = 3.0;
    /** @} */
    /** Use above which admission is reduced at once, in proportion. */
    double m_overloaded = 2.0;
};

/** Use of a service's slots as the nodes beside its backend servers reported it. */
struct ServiceLoad
{
    double m_slots = 0.0;
    /** Runs that hold or wait for a slot. */
    double m_runs = 0.0;
};

/** Admission of requests that need one service. */
struct ServiceAdmission
{
    /** Part of the requests of each importance that is admitted. */
    WorkByLevel m_shares{};
    /** Factor for the slots: below 1 if requests turn out to cost more than was estimated. */
    double m_correction = 1.0;
    /** Use of the slots as reported, averaged. */
    double m_use = 0.0;
    /** Runs as reported, and as expected from what was admitted; both averaged. @{ */
    double m_runs = 0.0;
    double m_expectedRuns = 0.0;
    /** @} */
    /** Expected runs before the delay with which admitted requests reach the service. */
    double m_admittedRuns = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;

    ServiceAdmission() { m_shares.fill(1.0); }
};

/** Admission state of one entry node. */
struct TreeAdmission
{
    TreeAdmissionSettings m_settings;
    std::unordered_map<std::string, ServiceAdmission> m_services;
    /** Requests owed to each route and importance, for even thinning. */
    std::unordered_map<std::string, double> m_credits;
};

/**
 * Divides a service's slots over the work that is asked of it, the most important first; within an
 * importance all get the same part. To be called every 100 ms.
 * @param demand work asked of the service at all entry nodes.
 */
void updateAdmission(TreeAdmission &admission, const std::string &service, const ServiceLoad &load,
                     const WorkByLevel &demand, std::chrono::steady_clock::time_point now);

/** Work that a request asks of a service, in seconds for which it holds a slot there. */
using TreeCost = std::pair<std::string, double>;

/** Decision on a request at its entry. */
struct TreeDecision
{
    bool m_admitted = true;
    /** Service that has no room; empty if admitted. */
    std::string m_service;
    /** Part of such requests that is admitted. */
    double m_share = 1.0;
};

/**
 * Decides whether a request may start its whole call tree. It is the only place where load is
 * turned away for good: a refusal further down would waste what has been done until then.
 * @param route names the requests that are thinned evenly.
 * @param costs the services that the request needs, directly or through nested calls.
 */
TreeDecision admitTree(TreeAdmission &admission, const std::string &route,
                       std::span<const TreeCost> costs, int level);

/**
 * Counts a request in the demand on each service that it needs. Requests that another service turns
 * away do not count.
 */
void recordTree(DemandMeter &meter, const TreeAdmission &admission, std::span<const TreeCost> costs,
                int level, std::chrono::steady_clock::time_point now);

/**
 * Time after which a refused caller is to come back: soon enough to be served within the target
 * latency when the shortage is short, spread so that the returns do not coincide.
 * @param share part of such requests that is admitted at present.
 */
std::chrono::milliseconds retryAfter(std::chrono::milliseconds targetLatency, double share,
                                     std::mt19937_64 &random);

} // namespace chervilmount::traffic
