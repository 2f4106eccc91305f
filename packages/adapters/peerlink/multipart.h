#pragma once

#include <zmq.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chervilmount::adapters {

/** Receives one message without blocking. @returns nothing if none is available. */
std::optional<std::vector<std::string>> receiveMultipart(zmq::socket_t &socket);

/**
 * Sends one message without blocking.
 * @returns false if the send queue is full or the receiver is not connected.
 */
bool sendMultipart(zmq::socket_t &socket, const std::vector<std::string> &parts);

} // namespace chervilmount::adapters
