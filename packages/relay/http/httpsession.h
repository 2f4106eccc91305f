#pragma once

#include "relay/http/arrivaltimes.h"
#include "relay/http/bodybudget.h"
#include "relay/http/serverexchange.h"
#include "traffic/policy/trafficpolicy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace chervilmount::relay {

/** Takes a whole request; it is answered with ServerExchange::respond(), now or later. */
using HttpHandler = std::function<void(const std::shared_ptr<ServerExchange> &, HttpRequest)>;

/** Bounds of one connection of a caller. */
struct SessionSettings
{
    /** Requests of one connection that are handled at once; at least 1. */
    std::size_t m_requestsAtOnce = 8;
    /** No further request is begun while more bytes of bodies wait to be sent. */
    std::size_t m_unsentBytes = 256UL * 1024;
    /** Bytes of further requests that are read while none can be begun. */
    std::size_t m_readAheadBytes = 64UL * 1024;
    /** Shared by all connections of the process; none for no bound. */
    std::shared_ptr<BodyBudget> m_bodies;
};

/**
 * One connection of a caller. Requests with safe methods (RFC 9110, 9.2.1) that are sent before
 * earlier ones are answered are handled beside them; others wait until the earlier ones are
 * answered. The socket is read all the while, so that a caller that leaves is noticed.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param limits limits in force; they may change while the session is open. */
    HttpSession(boost::asio::ip::tcp::socket socket, const traffic::CallerLimits &limits,
                const SessionSettings &settings, HttpHandler handler);

    /** Starts to read requests. */
    void start(TimePoint now);

    /** Closes the connection if it is idle or a request has taken too long to arrive. */
    void checkTimeouts(TimePoint now);

    /** Closes the connection if no request is being read or handled. */
    void closeIfIdle();

    /** Closes the connection at once; requests that are handled are abandoned. */
    void close();

    /** Closes the connection at once and tells nobody. */
    void abort();

    bool isClosed() const { return m_closed; }
    /** @returns whether a request is being read or handled, or the last response is under way. */
    bool isBusy() const;

private:
    friend class ServerExchange;

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void answered(ServerExchange &exchange, bool closes);
    void read();
    void received(boost::system::error_code error, std::size_t bytes);
    void endOfInput();
    bool mayBegin() const;
    void parse();
    /** @returns whether a whole request has been parsed; it is in m_parsed then. */
    bool parseRequest();
    void begin(HttpRequest request);
    void reject(HttpResponse response);
    void sendContinue();
    void write();
    void written(boost::system::error_code error);
    void drain();

    boost::asio::ip::tcp::socket m_socket;
    const traffic::CallerLimits &m_limits;
    const SessionSettings m_settings;
    HttpHandler m_handler;
    /** Target of the read that is under way. It is not part of m_unparsed, whose bytes move when
     * others are removed. */
    std::array<char, 4096> m_input{};
    boost::beast::flat_buffer m_unparsed;
    ArrivalTimes m_arrivals;
    /** When the first bytes of the request that is being read, or waits in m_parsed, arrived. */
    TimePoint m_requestReceivedAt;
    std::optional<Parser> m_parser;
    /** Bytes of the body that is being read, or waits in m_parsed. */
    BodyShare m_body;
    /** A request that waits until the earlier ones are answered. */
    std::optional<HttpRequest> m_parsed;
    /** Requests that have been begun and whose responses have not been sent, in their order. */
    std::deque<std::shared_ptr<ServerExchange>> m_exchanges;
    std::size_t m_unsentBytes = 0;
    /** Since when the request that is being read may take its time to arrive. */
    TimePoint m_requestStartedAt;
    TimePoint m_writeStartedAt;
    TimePoint m_lastActivity;
    bool m_reading = false;
    bool m_writing = false;
    bool m_endOfInput = false;
    /** No further request is begun; the connection ends after the last response. */
    bool m_ending = false;
    /** The last response has been sent; input is discarded until the caller closes. */
    bool m_draining = false;
    bool m_closed = false;
    /** The caller has been told to send the body of the request that is being read. */
    bool m_continued = false;
};

} // namespace chervilmount::relay
