#pragma once

#include <zmq.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilmount::adapters {

/** Receives one message without waiting. @returns nothing if none is there. */
std::optional<std::vector<std::string>> receiveMultipart(zmq::socket_t &socket);

/**
 * Sends one message without waiting.
 * @returns false if the socket cannot take it now or the receiver is unknown.
 */
bool sendMultipart(zmq::socket_t &socket, const std::vector<std::string> &parts);

} // namespace chervilmount::adapters
