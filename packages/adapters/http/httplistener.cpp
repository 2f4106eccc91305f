#include "adapters/http/httplistener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <stdexcept>
#include <utility>

namespace chervilmount::adapters {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Wait after a failed accept, for example when the process has no free descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

std::string badHeadResponse(boost::system::error_code error)
{
    const bool tooLarge =
            error == http::error::header_limit || error == http::error::buffer_overflow;
    const std::string status = tooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
    return "HTTP/1.1 " + status + "\r\nChervilmount-Outcome: not-run\r\nChervilmount-Reason: "
            + (tooLarge ? "head-too-large" : "malformed-head")
            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

} // namespace

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("'" + address + "' is not of the form ip:port");
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(host, error);
    std::size_t used = 0;
    int port = -1;
    try {
        port = std::stoi(address.substr(colon + 1), &used);
    } catch (const std::logic_error &) {
        used = 0;
    }
    if (error || used == 0 || used + colon + 1 != address.size() || port < 0 || port > 65535)
        throw std::invalid_argument("'" + address + "' is not of the form ip:port");
    return {ip, static_cast<std::uint16_t>(port)};
}

struct HttpListener::State
{
    State(const boost::asio::any_io_executor &executor, HttpLimits limits, Handler handler)
        : m_acceptor(executor)
        , m_limits(limits)
        , m_handler(std::move(handler))
    {
    }

    tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    Handler m_handler;
    Counters m_counters;
    std::set<std::shared_ptr<boost::beast::tcp_stream>> m_connections;
    std::size_t m_activeRequests = 0;
    bool m_stopping = false;
};

HttpListener::HttpListener(const boost::asio::any_io_executor &executor, const std::string &address,
                           HttpLimits limits, Handler handler)
    : m_state(std::make_shared<State>(executor, limits, std::move(handler)))
{
    const tcp::endpoint endpoint = parseEndpoint(address);
    m_state->m_acceptor.open(endpoint.protocol());
    m_state->m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_state->m_acceptor.bind(endpoint);
    m_state->m_acceptor.listen();
    boost::asio::co_spawn(executor, acceptConnections(m_state), boost::asio::detached);
}

HttpListener::~HttpListener()
{
    close();
}

void HttpListener::stopAccepting()
{
    m_state->m_stopping = true;
    boost::system::error_code ignored;
    m_state->m_acceptor.close(ignored);
}

void HttpListener::close()
{
    stopAccepting();
    for (const auto &stream : m_state->m_connections)
        stream->close();
}

tcp::endpoint HttpListener::localEndpoint() const
{
    return m_state->m_acceptor.local_endpoint();
}

const HttpListener::Counters &HttpListener::counters() const
{
    return m_state->m_counters;
}

std::size_t HttpListener::openConnections() const
{
    return m_state->m_connections.size();
}

std::size_t HttpListener::activeRequests() const
{
    return m_state->m_activeRequests;
}

Task<> HttpListener::acceptConnections(std::shared_ptr<State> state)
{
    while (!state->m_stopping) {
        auto [error, socket] = co_await state->m_acceptor.async_accept(AsTuple);
        if (state->m_stopping)
            co_return;
        if (error) {
            co_await sleepFor(AcceptRetryDelay);
            continue;
        }
        if (state->m_connections.size() >= state->m_limits.m_connections) {
            ++state->m_counters.m_refusedConnections;
            continue;
        }
        ++state->m_counters.m_accepted;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto stream = std::make_shared<boost::beast::tcp_stream>(std::move(socket));
        state->m_connections.insert(stream);
        boost::asio::co_spawn(state->m_acceptor.get_executor(), serveConnection(state, stream),
                              boost::asio::detached);
    }
}

Task<> HttpListener::serveConnection(std::shared_ptr<State> state,
                                     std::shared_ptr<boost::beast::tcp_stream> stream)
{
    try {
        co_await serveRequests(*state, *stream);
    } catch (const std::exception &) {
        // The connection is closed below; the client sees an incomplete response.
    }
    stream->close();
    state->m_connections.erase(stream);
}

Task<> HttpListener::serveRequests(State &state, boost::beast::tcp_stream &stream)
{
    boost::beast::flat_buffer buffer(state.m_limits.m_headBytes + 64UL * 1024);
    while (!state.m_stopping) {
        if (!co_await serveRequest(state, stream, buffer))
            co_return;
    }
}

Task<bool> HttpListener::serveRequest(State &state, boost::beast::tcp_stream &stream,
                                      boost::beast::flat_buffer &buffer)
{
    if (buffer.size() == 0) {
        stream.expires_after(state.m_limits.m_idleTimeout);
        const auto [waitError, count] = co_await stream.async_read_some(
                buffer.prepare(state.m_limits.m_headBytes), AsTuple);
        if (waitError)
            co_return false;
        buffer.commit(count);
    }
    HttpExchange::Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(state.m_limits.m_headBytes));
    parser.body_limit(state.m_limits.m_bodyBytes);
    stream.expires_after(state.m_limits.m_headTimeout);
    const auto [error, bytes] = co_await http::async_read_header(stream, buffer, parser, AsTuple);
    if (error) {
        ++state.m_counters.m_badHeads;
        if (error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message) {
            const std::string response = badHeadResponse(error);
            co_await boost::asio::async_write(stream, boost::asio::buffer(response), AsTuple);
        }
        co_return false;
    }
    ++state.m_counters.m_requests;
    HttpExchange exchange(stream, buffer, parser, state.m_limits);
    if (state.m_stopping)
        exchange.closeAfterResponse();
    ++state.m_activeRequests;
    try {
        co_await state.m_handler(exchange);
    } catch (...) {
        --state.m_activeRequests;
        throw;
    }
    --state.m_activeRequests;
    co_return exchange.reusable();
}

} // namespace chervilmount::adapters
