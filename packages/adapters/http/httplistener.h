#pragma once

#include "adapters/http/httpexchange.h"
#include "adapters/http/httplimits.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace chervilmount::adapters {

/** Parses "ip:port". @throws std::invalid_argument if the text is no such address. */
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

/** Accepts HTTP/1.1 connections on one address and hands each request to a handler. */
class HttpListener
{
public:
    /** Answers one request; must start a response or abort the exchange. */
    using Handler = std::function<Task<>(HttpExchange &exchange)>;

    /** Counters of a listener. */
    struct Counters
    {
        std::uint64_t m_accepted = 0;
        /** Connections closed because too many were open. */
        std::uint64_t m_refusedConnections = 0;
        std::uint64_t m_requests = 0;
        /** Requests with a head that was malformed, too large or too slow. */
        std::uint64_t m_badHeads = 0;
    };

    /**
     * Binds the address and starts accepting.
     * @throws boost::system::system_error if the address cannot be bound.
     */
    HttpListener(const boost::asio::any_io_executor &executor, const std::string &address,
                 HttpLimits limits, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /** Stops accepting connections; open ones end after their current request. */
    void stopAccepting();

    /** Closes all connections. */
    void close();

    boost::asio::ip::tcp::endpoint localEndpoint() const;
    const Counters &counters() const;
    std::size_t openConnections() const;

    /** @returns the number of requests that are being answered. */
    std::size_t activeRequests() const;

private:
    struct State;
    static Task<> acceptConnections(std::shared_ptr<State> state);
    static Task<> serveConnection(std::shared_ptr<State> state,
                                  std::shared_ptr<boost::beast::tcp_stream> stream);
    static Task<> serveRequests(State &state, boost::beast::tcp_stream &stream);
    static Task<bool> serveRequest(State &state, boost::beast::tcp_stream &stream,
                                   boost::beast::flat_buffer &buffer);

    std::shared_ptr<State> m_state;
};

} // namespace chervilmount::adapters
