#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace chervilmount::relay {

/** Time without acknowledgement after which a connection that has gone silent is given up. */
constexpr std::chrono::milliseconds SilentConnectionTimeout{2000};

/** Sets no-delay and short keep-alive probes. Errors are ignored: a socket that has just failed
 * reports them on its next use. */
void setConnectionOptions(boost::asio::ip::tcp::socket &socket);

/** Ends the connection when sent data is not acknowledged within SilentConnectionTimeout. Not for
 * connections whose other side may read slowly: data that waits for its window counts as well. */
void limitUnacknowledgedTime(boost::asio::ip::tcp::socket &socket);

/** @returns the endpoint of an "ip:port" text. @throws std::invalid_argument if it is malformed. */
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text);

} // namespace chervilmount::relay
