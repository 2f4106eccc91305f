#include "relay/http/httpsession.h"

#include "relay/http/socketoptions.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace chervilmount::relay {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 4096;
/** Bytes of further requests that are read while one is handled. */
constexpr std::size_t MaximumReadAhead = 64UL * 1024;
/** Time that callers have to close the connection after the last response. */
constexpr std::chrono::milliseconds ClosingTime{1000};
/** Callers may still be sending on a connection that has just reached the idle timeout. */
constexpr std::chrono::milliseconds IdleMargin{1000};

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, const traffic::CallerLimits &limits,
                         HttpHandler handler)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_handler(std::move(handler))
{
}

void HttpSession::start(TimePoint now)
{
    m_lastActivity = now;
    setConnectionOptions(m_socket);
    read();
}

void HttpSession::respond(HttpResponse response, bool closes)
{
    if (!m_handling || m_closed)
        return;
    m_handling = false;
    m_onAbandoned = nullptr;
    // The request may have taken longer than a caller may stay idle.
    m_lastActivity = std::chrono::steady_clock::now();
    m_response = std::move(response);
    m_response.keep_alive(!closes);
    m_response.prepare_payload();
    if (m_headRequest)
        m_response.body().clear();
    m_writing = true;
    http::async_write(m_socket, m_response,
                      [self = shared_from_this(), closes](boost::system::error_code error,
                                                          std::size_t /*bytes*/) {
                          self->written(error, closes);
                      });
}

void HttpSession::checkTimeouts(TimePoint now)
{
    if (m_closed || m_handling)
        return;
    if (m_draining) {
        if (now - m_lastActivity > ClosingTime)
            close();
        return;
    }
    if (m_writing) {
        // A caller that does not read holds memory of the node.
        if (now - m_lastActivity > m_limits.m_idleTimeout)
            close();
        return;
    }
    if (!m_parser) {
        if (now - m_lastActivity > m_limits.m_idleTimeout + IdleMargin)
            close();
        return;
    }
    const bool late = m_parser->is_header_done()
            ? now - m_lastActivity > m_limits.m_idleTimeout
            : now - m_requestStartedAt > m_limits.m_headTimeout;
    if (!late)
        return;
    m_parser.reset();
    m_handling = true;
    respond(makeResponse(408, "the request did not arrive in time\n"), true);
}

void HttpSession::closeIfIdle()
{
    if (!isBusy())
        close();
}

void HttpSession::read()
{
    if (m_reading || m_closed || m_endOfInput)
        return;
    if ((m_handling || m_writing) && m_buffer.size() > MaximumReadAhead)
        return;
    m_reading = true;
    m_socket.async_read_some(
            m_buffer.prepare(ReadBytes),
            [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                self->received(error, bytes);
            });
}

void HttpSession::received(boost::system::error_code error, std::size_t bytes)
{
    m_reading = false;
    if (m_closed)
        return;
    if (error) {
        m_endOfInput = true;
        if (m_handling)
            abandon();
        else if (!m_writing)
            close();
        return;
    }
    m_lastActivity = std::chrono::steady_clock::now();
    if (m_draining) {
        read();
        return;
    }
    m_buffer.commit(bytes);
    parse();
    read();
}

void HttpSession::parse()
{
    while (!m_handling && !m_writing && !m_closed && !m_draining) {
        if (!m_parser) {
            if (m_buffer.size() == 0)
                return;
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->header_limit(static_cast<std::uint32_t>(m_limits.m_headBytes));
            m_parser->body_limit(m_limits.m_bodyBytes);
            m_requestStartedAt = m_lastActivity;
        }
        boost::system::error_code error;
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error && error != http::error::need_more) {
            reject(error);
            return;
        }
        if (!m_parser->is_done())
            return;
        m_handling = true;
        HttpRequest request = m_parser->release();
        m_parser.reset();
        m_headRequest = request.method() == http::verb::head;
        m_handler(shared_from_this(), std::move(request));
    }
}

void HttpSession::reject(boost::system::error_code error)
{
    int status = 400;
    if (error == http::error::header_limit)
        status = 431;
    else if (error == http::error::body_limit)
        status = 413;
    m_parser.reset();
    m_handling = true;
    respond(makeResponse(status, error.message() + "\n"), true);
}

void HttpSession::written(boost::system::error_code error, bool closes)
{
    m_writing = false;
    m_response = HttpResponse();
    m_lastActivity = std::chrono::steady_clock::now();
    if (error || m_endOfInput) {
        close();
        return;
    }
    if (closes) {
        // Closing with unread bytes would reset the connection and could destroy the response.
        m_draining = true;
        m_buffer.clear();
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        read();
        return;
    }
    parse();
    read();
}

void HttpSession::close()
{
    if (m_closed)
        return;
    m_closed = true;
    // The callback refers to the request, and the request to this session.
    m_onAbandoned = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void HttpSession::abandon()
{
    m_handling = false;
    const std::function<void()> callback = std::exchange(m_onAbandoned, nullptr);
    close();
    if (callback)
        callback();
}

} // namespace chervilmount::relay
