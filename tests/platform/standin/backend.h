#pragma once

#include "relay/http/httpclientconnection.h"
#include "relay/http/httpserver.h"
#include "relay/timers/timerqueue.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** Faults of a backend server; each applies until it is reset. */
struct BackendFaults
{
    /** Refuses requests as not run. */
    bool m_refuses = false;
    /** Runs the request but sends no response. */
    bool m_losesAnswers = false;
    /** Runs the request, sends a response without the seal and closes the connection. */
    bool m_resets = false;
    /** Omits the seal, which proves that a response comes from a backend server. */
    bool m_unsealed = false;
    /** Sends the attempt identifier of another request. */
    bool m_wrongAttempt = false;
    /** Fails its status checks, as one does that is leaving. */
    bool m_failsStatusChecks = false;
    /** States in its answers that it leaves. */
    bool m_leaves = false;
    /** Requests a second that it names in its answers as its limit; none if empty. */
    std::string m_requestLimit;
    /** Continues to run after the deadline. */
    bool m_ignoresDeadline = true;
};

/** A request that the backend server has run. */
struct BackendRun
{
    std::string m_attempt;
    chervilmount::relay::HttpRequest m_request;
};

/** A nested call that each run makes before it answers. */
struct NestedCall
{
    std::string m_address;
    std::string m_host;
    std::string m_target;
};

/** Fake backend server that responds "body of ATTEMPT" after its service time. */
class Backend
{
public:
    Backend(boost::asio::io_context &context, std::string id, std::string service);
    ~Backend();

    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    /** Stops listening and closes all connections, like a process that has crashed. */
    void crash() { m_server.abort(); }

    const std::string &address() const { return m_address; }
    const std::string &id() const { return m_id; }

    /** @returns the body of an announcement. */
    std::string announcement(const std::string &state, int sequence, std::int64_t born) const;

    /** @returns how often a request with this identifier has run. */
    int runs(const std::string &attempt) const;

    BackendFaults m_faults;
    std::chrono::milliseconds m_serviceTime{2};
    /** Bytes that are appended to the body of each response. */
    std::size_t m_additionalBytes = 0;
    int m_slots = 10;
    std::vector<NestedCall> m_nestedCalls;
    std::vector<BackendRun> m_runs;
    /** Requests received, including refused ones, without status checks. */
    int m_arrivals = 0;
    std::vector<std::chrono::steady_clock::time_point> m_arrivalTimes;
    /** Runs whose caller disconnected before the response. */
    int m_abandoned = 0;
    int m_largestRunning = 0;

private:
    using Exchange = std::shared_ptr<chervilmount::relay::ServerExchange>;

    void handle(const Exchange &exchange, chervilmount::relay::HttpRequest request);
    void callNested(const Exchange &exchange, const std::string &attempt, std::size_t next,
                    std::chrono::steady_clock::time_point deadline);
    void answer(const Exchange &exchange, const std::string &attempt, int status);

    boost::asio::io_context &m_context;
    chervilmount::relay::TimerQueue m_timers;
    chervilmount::traffic::CallerLimits m_limits;
    std::string m_id;
    std::string m_service;
    std::string m_address;
    chervilmount::relay::HttpServer m_server;
    int m_running = 0;
    int m_lastNested = 0;
    /** Connections of nested calls; their callbacks refer to them. */
    std::vector<std::shared_ptr<chervilmount::relay::HttpClientConnection>> m_connections;
};
