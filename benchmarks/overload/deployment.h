#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::scenarios {

constexpr int FailureDomains = 4;
constexpr int DomainsPerRegion = 2;
constexpr int Organisations = 8;
/** Fraction of the demand from each organisation: a few large ones. */
constexpr double DemandShares[Organisations] = {0.25, 0.20, 0.15, 0.10, 0.10, 0.10, 0.05, 0.05};

/** A service; slots and connections are those of one backend server. */
struct ServiceModel
{
    std::string m_name;
    int m_slots = 0;
    int m_connections = 0;
    /** Service time of one call, without nested calls. */
    std::chrono::nanoseconds m_workTime{0};
    /** Services called sequentially while the slot is held. */
    std::vector<int> m_calls;
};

/** A kind of request. */
struct RequestKind
{
    int m_service = 0;
    int m_priority = 0;
    bool m_onceOnly = false;
    /** Fraction of the demand. */
    double m_share = 0.0;
};

/** Sizes of one deployment (section 1.4 of the design). */
struct Deployment
{
    std::string m_name;
    std::vector<ServiceModel> m_services;
    std::vector<RequestKind> m_kinds;
    /** Backend servers of each service in each failure domain. */
    int m_serversPerDomain = 1;
    /** Service that limits the goodput; each request calls it once. */
    int m_bottleneck = 0;
    std::chrono::nanoseconds m_domainLatency{0};
    std::chrono::nanoseconds m_regionLatency = std::chrono::milliseconds{12};
    std::chrono::nanoseconds m_clientLatency = std::chrono::milliseconds{3};
    double m_linkBytesPerSecond = 30e6 / 8;
    /** Requests a second in normal operation. */
    double m_normalDemand = 0.0;
};

Deployment addis();
Deployment halvern();
/** Many small backend servers, so that load balancing within one place matters. */
Deployment wide();

/** @returns the capacity of the bottleneck with all backend servers, in requests per second. */
double bottleneckCapacity(const Deployment &deployment);

} // namespace chervilmount::scenarios
