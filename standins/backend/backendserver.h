#pragma once

#include "standins/support/httpclient.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::standins {

/** Settings and injectable faults of a backend server stand-in. */
struct BackendBehaviour
{
    std::string m_service;
    std::string m_address;
    int m_slots = 50;
    int m_connections = 400;
    /** Mean time that a request occupies a slot before its nested calls. */
    std::chrono::milliseconds m_serviceTime{20};
    /** Services called sequentially for each request. */
    std::vector<std::string> m_calls;
    /** Never responds. */
    bool m_hangs = false;
    /** Responds immediately with 503 without running the request. */
    bool m_refuses = false;
    /** Truncates every Nth response; 0 disables the fault. */
    std::uint64_t m_truncateEveryNth = 0;
};

/** State of a backend server stand-in. */
struct BackendServer
{
    BackendBehaviour m_behaviour;
    boost::asio::ip::tcp::endpoint m_node;
    ConnectionPool m_pool;
    int m_running = 0;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> m_waiting;
    std::mt19937_64 m_random{1};
    std::uint64_t m_responseCount = 0;
    std::uint64_t m_requestCount = 0;
    /** Number of requests that contained a caller's key; must stay 0. */
    std::uint64_t m_keysSeen = 0;
    /** Runs of once-only requests by idempotency key. */
    std::map<std::string, int> m_executions;
};

/**
 * Handles a request of the node, or of the test at /standin/: POST /standin/faults changes the
 * behaviour, GET /standin/executions returns the executed requests, POST /standin/leave announces
 * the departure.
 */
boost::asio::awaitable<HttpResponse> handleBackendRequest(BackendServer &server,
                                                          HttpRequest request);

/** Announces the backend server to its node every 5 s, and every 0.2 s until the first success. */
boost::asio::awaitable<void> announceToNode(BackendServer &server);

} // namespace chervilmount::standins
