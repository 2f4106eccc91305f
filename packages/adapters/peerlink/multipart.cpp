#include "adapters/peerlink/multipart.h"

namespace chervilmount::adapters {

std::optional<std::vector<std::string>> receiveMultipart(zmq::socket_t &socket)
{
    std::vector<std::string> parts;
    zmq::message_t part;
    do {
        if (!socket.recv(part, zmq::recv_flags::dontwait))
            return std::nullopt;
        parts.push_back(part.to_string());
    } while (part.more());
    return parts;
}

bool sendMultipart(zmq::socket_t &socket, const std::vector<std::string> &parts)
{
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const zmq::send_flags more =
                index + 1 < parts.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        try {
            if (!socket.send(zmq::buffer(parts[index]), zmq::send_flags::dontwait | more))
                return false;
        } catch (const zmq::error_t &error) {
            // ROUTER sockets with ZMQ_ROUTER_MANDATORY fail if the receiver is not connected.
            if (error.num() != EHOSTUNREACH)
                throw;
            return false;
        }
    }
    return true;
}

} // namespace chervilmount::adapters
