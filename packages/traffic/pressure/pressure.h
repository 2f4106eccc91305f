#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Settings of the admission of whole call trees. */
struct PressureSettings
{
    /** Part of a service's usable slots that may be taken before requests are turned away. */
    double m_target = 0.92;
    /** Change of the priorities turned away for a deviation of 1 from the target. */
    double m_proportional = 0.35;
    /** The same, for each second that the deviation lasts. */
    double m_integral = 0.8;
    /** Use above which m_rise more is turned away with each update. */
    double m_overloaded = 1.25;
    double m_rise = 0.1;
};

/** Use of a service's slots as the nodes beside its backend servers reported it. */
struct ServiceLoad
{
    double m_slots = 0.0;
    /** Runs that hold or wait for a slot. */
    double m_runs = 0.0;
};

/** Admission to one service at one entry node. */
struct ServicePressure
{
    /** Priorities that are turned away, counted from the least important one in use: 1.3 turns
     * away that priority and 30 % of the next one. */
    double m_shed = 0.0;
    /** Part of m_shed that has built up over time. */
    double m_integral = 0.0;
    double m_use = 0.0;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/** Admission state of one entry node. */
struct Pressure
{
    PressureSettings m_settings;
    std::unordered_map<std::string, ServicePressure> m_services;
    /** Least important priority that requests had lately. */
    int m_lowestPriority = 0;
};

/** Takes the present load of a service; to be called every 100 ms. */
void updatePressure(Pressure &pressure, const std::string &service, const ServiceLoad &load,
                    std::chrono::steady_clock::time_point now);

/** Decision on a request at its entry. */
struct TreeDecision
{
    bool m_admitted = true;
    /** Service that has no room; empty if admitted. */
    std::string m_service;
    /** Part of the requests of this priority that the service admits. */
    double m_share = 1.0;
};

/**
 * Decides whether a request may start its whole call tree. It is the only place where load is
 * turned away for good: a refusal further down would waste what has been done until then.
 * @param services the services that the request needs, directly or through nested calls.
 * @param draw random number from 0 to 1.
 */
TreeDecision admitTree(Pressure &pressure, std::span<const std::string> services, int priority,
                       double draw);

/**
 * Time after which a refused caller is to come back: soon enough to be served within the target
 * latency when the shortage is short, spread so that the returns do not coincide.
 * @param share part of such requests that is admitted at present.
 */
std::chrono::milliseconds retryAfter(std::chrono::milliseconds targetLatency, double share,
                                     std::mt19937_64 &random);

} // namespace chervilmount::traffic
