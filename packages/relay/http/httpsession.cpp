#include "relay/http/httpsession.h"

#include "relay/http/chunkline.h"
#include "relay/http/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

namespace http = boost::beast::http;

namespace {

/** Time that callers have to close the connection after the last response. */
constexpr std::chrono::milliseconds ClosingTime{1000};
/** Callers may still be sending on a connection that has just reached the idle timeout. */
constexpr std::chrono::milliseconds IdleMargin{1000};
/** Longest time for the body of a request, however steadily it arrives. */
constexpr std::chrono::seconds LongestBodyTime{60};
/** When callers return whose bodies found no memory. */
constexpr std::string_view NoMemoryRetryAfter = "0.5";

bool isSafe(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

bool expectsContinue(const http::fields &fields)
{
    return http::token_list(fields[http::field::expect]).exists("100-continue");
}

int statusOf(boost::system::error_code error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, const traffic::CallerLimits &limits,
                         const SessionSettings &settings, HttpHandler handler)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_settings(settings)
    , m_handler(std::move(handler))
{
}

void HttpSession::start(TimePoint now)
{
    m_lastActivity = now;
    setConnectionOptions(m_socket);
    read();
}

void HttpSession::checkTimeouts(TimePoint now)
{
    if (m_closed)
        return;
    if (m_draining) {
        if (now - m_lastActivity > ClosingTime)
            close();
        return;
    }
    // A caller that does not read holds memory of the node.
    if (m_writing && now - m_writeStartedAt > m_limits.m_idleTimeout) {
        close();
        return;
    }
    if (m_writing || !m_exchanges.empty())
        return;
    if (!m_parser) {
        if (now - m_lastActivity > m_limits.m_idleTimeout + IdleMargin)
            close();
        return;
    }
    const bool late = m_parser->is_header_done()
            ? now - m_lastActivity > m_limits.m_idleTimeout
                    || now - m_requestStartedAt > LongestBodyTime
            : now - m_requestStartedAt > m_limits.m_headTimeout;
    if (late)
        reject(makeResponse(408, "the request did not arrive in time\n"));
}

void HttpSession::closeIfIdle()
{
    if (!isBusy())
        close();
}

void HttpSession::close()
{
    if (m_closed)
        return;
    // The callbacks may refer to this session.
    const std::deque<std::shared_ptr<ServerExchange>> exchanges =
            std::exchange(m_exchanges, std::deque<std::shared_ptr<ServerExchange>>());
    abort();
    for (const std::shared_ptr<ServerExchange> &exchange : exchanges) {
        exchange->m_ended = true;
        const std::function<void()> callback = std::exchange(exchange->m_onAbandoned, nullptr);
        if (callback)
            callback();
    }
}

void HttpSession::abort()
{
    m_closed = true;
    for (const std::shared_ptr<ServerExchange> &exchange : m_exchanges) {
        exchange->m_ended = true;
        exchange->m_onAbandoned = nullptr;
    }
    m_exchanges.clear();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

bool HttpSession::isBusy() const
{
    // A connection that is closed before the caller has read all may be reset, and the response
    // lost.
    return !m_exchanges.empty() || m_writing || m_draining || m_parser.has_value()
            || m_parsed.has_value();
}

void HttpSession::answered(ServerExchange &exchange, bool closes)
{
    m_unsentBytes += exchange.m_response->body().size();
    exchange.m_bodies.add(exchange.m_response->body().size());
    // What is sent behind the last response counts as not read; callers send it again.
    m_ending = m_ending || closes;
    write();
}

void HttpSession::read()
{
    if (m_reading || m_closed || m_endOfInput)
        return;
    if (!mayBegin() && !m_draining && m_unparsed.size() > m_settings.m_readAheadBytes)
        return;
    m_reading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_input),
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
        endOfInput();
        return;
    }
    // What arrives after the last response does not keep the connection open.
    if (!m_draining) {
        m_lastActivity = std::chrono::steady_clock::now();
        boost::asio::buffer_copy(m_unparsed.prepare(bytes), boost::asio::buffer(m_input, bytes));
        m_unparsed.commit(bytes);
        m_arrivals.received(bytes, m_lastActivity);
        parse();
    }
    read();
}

void HttpSession::endOfInput()
{
    m_endOfInput = true;
    const bool allAnswered = std::all_of(
            m_exchanges.begin(), m_exchanges.end(),
            [](const std::shared_ptr<ServerExchange> &exchange) { return exchange->m_ended; });
    if (!m_writing || !allAnswered)
        close();
}

bool HttpSession::mayBegin() const
{
    return !m_closed && !m_ending && !m_endOfInput && !m_parsed
            && m_exchanges.size() < m_settings.m_requestsAtOnce
            && m_unsentBytes <= m_settings.m_unsentBytes;
}

void HttpSession::parse()
{
    while (!m_closed && !m_ending) {
        if (!m_parsed && (!mayBegin() || !parseRequest()))
            return;
        const bool mayRunBeside = isSafe(m_parsed->method())
                && std::all_of(m_exchanges.begin(), m_exchanges.end(),
                               [](const std::shared_ptr<ServerExchange> &exchange) {
                                   return exchange->m_hasSafeMethod;
                               });
        if (!m_exchanges.empty() && !mayRunBeside)
            return;
        begin(*std::exchange(m_parsed, std::nullopt));
    }
}

bool HttpSession::parseRequest()
{
    // The parser computes with the address of the buffer, which is null if nothing has arrived.
    if (m_unparsed.size() == 0)
        return false;
    if (!m_parser) {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.m_headBytes));
        m_parser->body_limit(m_limits.m_bodyBytes);
        m_requestStartedAt = m_lastActivity;
        m_requestReceivedAt = m_arrivals.oldest();
        m_continued = false;
        m_body = BodyShare(m_settings.m_bodies);
    }
    boost::system::error_code error;
    const std::size_t used = m_parser->put(m_unparsed.data(), error);
    m_unparsed.consume(used);
    m_arrivals.used(used);
    if (m_unparsed.size() == 0)
        m_unparsed.shrink_to_fit();
    if (error && error != http::error::need_more) {
        reject(makeResponse(statusOf(error), error.message() + "\n"));
        return false;
    }
    if (!m_body.resize(m_parser->get().body().size())) {
        HttpResponse response = makeResponse(503, "no memory for the body of the request\n");
        response.set(http::field::retry_after, NoMemoryRetryAfter);
        reject(std::move(response));
        return false;
    }
    if (m_parser->is_done()) {
        m_parsed = m_parser->release();
        m_parser.reset();
        return true;
    }
    if (hasTooLongChunkLine(*m_parser, m_unparsed.size())) {
        reject(makeResponse(400, "the line before a chunk is too long\n"));
        return false;
    }
    sendContinue();
    return false;
}

void HttpSession::begin(HttpRequest request)
{
    auto exchange = std::make_shared<ServerExchange>(weak_from_this(), m_requestReceivedAt);
    exchange->m_omitsBody = request.method() == http::verb::head;
    exchange->m_hasSafeMethod = isSafe(request.method());
    exchange->m_bodies = std::move(m_body);
    m_ending = !request.keep_alive();
    m_exchanges.push_back(exchange);
    m_handler(exchange, std::move(request));
}

void HttpSession::reject(HttpResponse response)
{
    m_parser.reset();
    m_body = BodyShare();
    m_exchanges.push_back(std::make_shared<ServerExchange>(weak_from_this(), m_requestReceivedAt));
    m_exchanges.back()->respond(std::move(response), true);
}

void HttpSession::sendContinue()
{
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    if (m_continued || m_writing || !m_exchanges.empty() || !m_parser->is_header_done()
        || !expectsContinue(m_parser->get()))
        return;
    m_continued = true;
    m_writing = true;
    m_writeStartedAt = std::chrono::steady_clock::now();
    boost::asio::async_write(
            m_socket, boost::asio::buffer(Continue),
            [self = shared_from_this()](boost::system::error_code error, std::size_t /*bytes*/) {
                self->m_writing = false;
                if (error)
                    self->close();
                else
                    self->write();
            });
}

void HttpSession::write()
{
    if (m_writing || m_closed || m_exchanges.empty() || !m_exchanges.front()->m_response)
        return;
    const std::shared_ptr<ServerExchange> exchange = m_exchanges.front();
    HttpResponse &response = *exchange->m_response;
    response.keep_alive(!m_ending || m_exchanges.size() > 1);
    const std::size_t bytes = response.body().size();
    response.prepare_payload();
    if (exchange->m_omitsBody)
        response.body().clear();
    m_writing = true;
    m_writeStartedAt = std::chrono::steady_clock::now();
    http::async_write(m_socket, response,
                      [self = shared_from_this(), exchange, bytes](boost::system::error_code error,
                                                                   std::size_t /*bytes*/) {
                          self->m_unsentBytes -= bytes;
                          self->written(error);
                      });
}

void HttpSession::written(boost::system::error_code error)
{
    m_writing = false;
    if (m_closed)
        return;
    m_exchanges.pop_front();
    // The request may have taken longer than a caller may stay idle.
    m_lastActivity = std::chrono::steady_clock::now();
    if (error || (m_endOfInput && m_exchanges.empty())) {
        close();
        return;
    }
    if (m_exchanges.empty()) {
        if (m_ending) {
            drain();
            return;
        }
        // The time for a request does not run while earlier ones keep it from being read.
        m_requestStartedAt = m_lastActivity;
    }
    write();
    parse();
    read();
}

void HttpSession::drain()
{
    // Closing with unread bytes would reset the connection and could destroy the response.
    m_draining = true;
    m_parsed.reset();
    m_parser.reset();
    m_unparsed.clear();
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

} // namespace chervilmount::relay
