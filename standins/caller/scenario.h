#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::standins {

/** A steady stream of requests of one organisation to one route. */
struct Flow
{
    std::string m_organisation;
    std::string m_key;
    std::string m_method;
    std::string m_host;
    std::string m_path;
    double m_requestsPerSecond = 1.0;
    std::size_t m_responseBytes = 1000;
    /** Each request has a unique idempotency key. */
    bool m_onceOnly = false;
    /** Factor of the demand during the surge. */
    double m_surgeFactor = 1.0;
    /** Maximum number of immediate retries by the caller after a refusal. */
    int m_retries = 0;
};

/** Rate and burst against which an organisation is checked. */
struct OrganisationLimit
{
    std::string m_organisation;
    double m_rate = 0.0;
    double m_burst = 0.0;
};

/** Load to send and limits to check. */
struct Scenario
{
    std::chrono::milliseconds m_duration{30000};
    std::chrono::milliseconds m_surgeStart{10000};
    std::chrono::milliseconds m_surgeEnd{20000};
    std::chrono::milliseconds m_timeout{5000};
    /** Caller listeners of the nodes. */
    std::vector<boost::asio::ip::tcp::endpoint> m_nodes;
    /** Backend servers whose executions are queried at the end. */
    std::vector<boost::asio::ip::tcp::endpoint> m_backends;
    std::vector<Flow> m_flows;
    std::vector<OrganisationLimit> m_limits;
};

/** @throws std::exception if a field is missing or has the wrong type. */
Scenario parseScenario(const boost::json::value &value);

} // namespace chervilmount::standins
