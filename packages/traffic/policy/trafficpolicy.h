#pragma once

#include "model/configuration/route.h"
#include "model/findings/finding.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::traffic {

/** A service that receives a weighted share of a route's requests. */
struct SplitPart
{
    std::string m_service;
    /** Relative to the weights of the other parts; not negative. */
    double m_weight = 1.0;
};

/** How requests on one route are handled. */
struct RoutePolicy
{
    std::string m_name;
    std::string m_host;
    /** Begins and ends with a slash; a request matches if its path begins with it. */
    std::string m_prefix;
    model::Execution m_execution = model::Execution::OnceOnly;
    /** Maximum time until the final response. */
    std::chrono::milliseconds m_timeout{0};
    /** Latency up to which a response has its full value to the caller. */
    std::chrono::milliseconds m_targetLatency{0};
    /** 0 is the most important. */
    int m_priority = 0;
    /** Services that run the requests, with their weights; at least one. */
    std::vector<SplitPart> m_parts;
    /** Maximum number of backend servers to which one request of a caller is sent; at least 1. */
    int m_maximumAttempts = 1;
    /** Requests need no key. */
    bool m_open = false;
};

/** Settings of a service that a node needs. */
struct ServicePolicy
{
    std::string m_name;
    std::string m_healthPath;
    /** Maximum number of connections that one backend server accepts from all callers. */
    int m_maximumConnections = 0;
};

/** An organisation with its keys and its fleet-wide rate limit. */
struct OrganisationPolicy
{
    std::string m_name;
    std::vector<std::string> m_keys;
    /** Takes precedence over the priority of the route. */
    std::optional<int> m_priority;
    /** Requests per second over all nodes; 0 means no limit. */
    double m_rate = 0.0;
    /** Burst size in requests over all nodes. */
    double m_burst = 0.0;
};

/** Limits of callers' requests and connections. */
struct CallerLimits
{
    std::size_t m_headBytes = 16UL * 1024;
    std::size_t m_bodyBytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds m_headTimeout{3000};
    std::chrono::milliseconds m_idleTimeout{15000};
};

/** One version of the operators' configuration; replaced as a whole. */
struct TrafficPolicy
{
    std::uint64_t m_version = 0;
    std::vector<RoutePolicy> m_routes;
    std::vector<ServicePolicy> m_services;
    std::vector<OrganisationPolicy> m_organisations;
    /** Without organisations, requests need no key. */
    bool m_requiresKeys = false;
    CallerLimits m_limits;
    /** Unknown parts of the document, which this node handles in the strictest way. */
    model::Findings m_notices;
};

} // namespace chervilmount::traffic
