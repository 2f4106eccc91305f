#pragma once

#include "relay/http/httpmessage.h"
#include "traffic/policy/trafficpolicy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace chervilmount::relay {

class HttpSession;

/** Takes a whole request; it is answered with HttpSession::respond(), now or later. */
using HttpHandler = std::function<void(const std::shared_ptr<HttpSession> &, HttpRequest)>;

/**
 * One connection of a caller. Requests are handled one after the other; while one is handled the
 * socket is still read, so that a caller that leaves is noticed.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param limits limits in force; they may change while the session is open. */
    HttpSession(boost::asio::ip::tcp::socket socket, const traffic::CallerLimits &limits,
                HttpHandler handler);

    /** Starts to read requests. */
    void start(TimePoint now);

    /**
     * Answers the request that is being handled.
     * @param closes whether the connection ends after the response.
     */
    void respond(HttpResponse response, bool closes);

    /** Closes the connection if it is idle or a request has taken too long to arrive. */
    void checkTimeouts(TimePoint now);

    /** Closes the connection if no request is being read or handled. */
    void closeIfIdle();

    /** Closes the connection at once. */
    void close();

    bool isClosed() const { return m_closed; }
    /** @returns whether a request is being read or handled. */
    bool isBusy() const { return m_handling || m_writing || m_parser.has_value(); }

    /** Called once if the caller leaves before the request is answered; set by the handler. */
    std::function<void()> m_onAbandoned;

private:
    void read();
    void received(boost::system::error_code error, std::size_t bytes);
    void parse();
    void reject(boost::system::error_code error);
    void written(boost::system::error_code error, bool closes);
    void abandon();

    boost::asio::ip::tcp::socket m_socket;
    const traffic::CallerLimits &m_limits;
    HttpHandler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    HttpResponse m_response;
    TimePoint m_requestStartedAt;
    TimePoint m_lastActivity;
    bool m_reading = false;
    bool m_handling = false;
    bool m_writing = false;
    bool m_endOfInput = false;
    /** The last response has been sent; input is discarded until the caller closes. */
    bool m_draining = false;
    bool m_closed = false;
    bool m_headRequest = false;
};

} // namespace chervilmount::relay
