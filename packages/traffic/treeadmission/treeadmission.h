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

/** Settings of the admission control for call trees. */
struct TreeAdmissionSettings
{
    /** Without admission control all requests are admitted. */
    bool m_enabled = true;
    /** The estimated costs are corrected by the reported runs. */
    bool m_correctsCosts = true;
    /** Requests are thinned evenly; otherwise by random draws. */
    bool m_thinsEvenly = true;
    /** Demand of other regions counts. */
    bool m_countsOtherRegions = true;
    /** Target utilisation of a service's usable slots. */
    double m_target = 0.92;
    /** Time constants of the cost correction. It is lowered slowly because utilisation also
     * oscillates for other reasons: with 0.5 s the correction followed the lowest values, and
     * requests were refused although slots were free. @{ */
    std::chrono::milliseconds m_raiseTime{1500};
    std::chrono::milliseconds m_lowerTime{4000};
    /** @} */
    /** Bounds of the correction. @{ */
    double m_minimumCorrection = 0.5;
    double m_maximumCorrection = 3.0;
    /** @} */
    /** Utilisation above which admission is reduced immediately, in proportion. */
    double m_overloadUtilisation = 2.0;
};

/** Settings of the retry delay for refused callers. */
struct RetryAfterSettings
{
    /** Bounds of the delay as fractions of the target latency. @{ */
    double m_minimumShare = 0.2;
    double m_maximumShare = 0.6;
    /** @} */
    std::chrono::milliseconds m_minimum{100};
};

/** Slot utilisation of a service as reported by the nodes of its backend servers. */
struct ServiceLoad
{
    double m_slots = 0.0;
    /** Runs that hold a slot or wait for one. */
    double m_runs = 0.0;
};

/** Admission state of one service. */
struct ServiceAdmission
{
    /** Fraction of requests that is admitted, by priority level. */
    WorkByLevel m_shares{};
    /** Factor for the slot budget; below 1 if requests cost more than estimated. */
    double m_correction = 1.0;
    /** Moving average of the reported utilisation. */
    double m_use = 0.0;
    /** Moving averages of the reported runs and of the runs expected from admitted requests. @{ */
    double m_runs = 0.0;
    double m_expectedRuns = 0.0;
    /** @} */
    /** Intermediate average that models the delay until admitted requests reach the service. */
    double m_admittedRuns = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;

    ServiceAdmission() { m_shares.fill(1.0); }
};

/** Admission control of one entry node. */
struct TreeAdmission
{
    TreeAdmissionSettings m_settings;
    std::unordered_map<std::string, ServiceAdmission> m_services;
    /** Admission credits by route and priority level, for deterministic thinning. */
    std::unordered_map<std::string, double> m_credits;
    std::mt19937_64 m_random;
};

/**
 * Allocates a service's slots to its demand in order of priority; all requests of one priority
 * level are admitted at the same share. To be called every 100 ms.
 * @param demand demand on the service at all entry nodes.
 */
void updateAdmission(TreeAdmission &admission, const std::string &service, const ServiceLoad &load,
                     const WorkByLevel &demand, std::chrono::steady_clock::time_point now);

/** A service and the work that a request needs from it, in seconds for which it holds a slot. */
using TreeCost = std::pair<std::string, double>;

/** Decision on a request at its entry node. */
struct TreeDecision
{
    bool m_admitted = true;
    /** Overloaded service; empty if admitted. */
    std::string m_service;
    /** Fraction of such requests that is admitted. */
    double m_share = 1.0;
};

/**
 * Decides whether a request and its whole call tree are admitted. Load is shed only here: a refusal
 * further down the call tree would waste the work done so far.
 * @param route route of the request; thinning is even for each route.
 * @param costs the services that the request needs, directly or through nested calls.
 */
TreeDecision admitTree(TreeAdmission &admission, const std::string &route,
                       std::span<const TreeCost> costs, int level);

/**
 * Adds a request to the demand on each service that it needs. The demand on a service is scaled by
 * the share of such requests that the other services admit.
 */
void recordTree(DemandMeter &meter, const TreeAdmission &admission, std::span<const TreeCost> costs,
                int level, std::chrono::steady_clock::time_point now);

/**
 * Returns the retry delay for a refused caller. It allows a retry within the target latency if the
 * overload is short, and has jitter so that retries do not coincide.
 * @param share fraction of such requests that is currently admitted.
 */
std::chrono::milliseconds retryAfter(const RetryAfterSettings &settings,
                                     std::chrono::milliseconds targetLatency, double share,
                                     std::mt19937_64 &random);

} // namespace chervilmount::traffic
