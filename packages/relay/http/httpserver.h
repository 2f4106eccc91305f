#pragma once

#include "relay/http/httpsession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <string>

namespace chervilmount::relay {

/** Listens on one address and runs a session for each connection. */
class HttpServer
{
public:
    /**
     * @param address "ip:port".
     * @param limits limits of the sessions; must outlive the server.
     * @throws std::invalid_argument if the address is malformed.
     * @throws boost::system::system_error if it cannot be bound.
     */
    HttpServer(boost::asio::io_context &context, const std::string &address,
               const traffic::CallerLimits &limits, HttpHandler handler);

    /** Closes all connections. */
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Bounds the open connections; further ones wait in the listener's queue. */
    void setMaximumSessions(std::size_t sessions) { m_maximumSessions = sessions; }

    /** Sets the bounds of the connections that are accepted from now on. */
    void setSessionSettings(const SessionSettings &settings) { m_sessionSettings = settings; }

    /** Ends idle sessions; to be called about every 500 ms. */
    void checkTimeouts(std::chrono::steady_clock::time_point now);

    /** Stops to listen and closes idle connections. */
    void close();

    /** Stops to listen and closes all connections at once; nobody is told. */
    void abort();

    /** @returns the number of sessions that read or handle a request. */
    std::size_t busySessions() const;

    std::size_t sessions() const { return m_sessions.size(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    const traffic::CallerLimits &m_limits;
    HttpHandler m_handler;
    std::size_t m_maximumSessions = 3000;
    SessionSettings m_sessionSettings;
    bool m_accepting = false;
    std::list<std::shared_ptr<HttpSession>> m_sessions;
};

} // namespace chervilmount::relay
