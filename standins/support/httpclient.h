#pragma once

#include "standins/support/httpserver.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace chervilmount::standins {

/** Idle keep-alive connections by endpoint; used from one thread. */
struct ConnectionPool
{
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::unique_ptr<boost::beast::tcp_stream>>>
            m_idle;
};

/**
 * Sends a request and reads the whole response.
 * @param timeout maximum time until the response has been read completely
 * @throws boost::system::system_error if the connection fails, the response is truncated or the
 * timeout passes
 */
boost::asio::awaitable<HttpResponse> sendHttp(ConnectionPool &pool,
                                              boost::asio::ip::tcp::endpoint endpoint,
                                              HttpRequest request,
                                              std::chrono::milliseconds timeout);

/** Parses "address:port". @throws std::invalid_argument if the text has another form. */
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

} // namespace chervilmount::standins
