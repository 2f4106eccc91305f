#pragma once

#include "adapters/peerlink/socketwatcher.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace chervilmount::adapters {

/**
 * Answers ZeroMQ's authentication requests (ZAP, RFC 27): admits CURVE peers with an accepted
 * public key and rejects all others at the handshake.
 */
class ZapAuthenticator
{
public:
    /**
     * @param acceptedKeys public keys in Z85.
     * @throws std::invalid_argument if a key is not valid Z85.
     * @throws zmq::error_t if the context already has an authenticator.
     */
    ZapAuthenticator(const boost::asio::any_io_executor &executor, zmq::context_t &context,
                     const std::vector<std::string> &acceptedKeys);

    /** @returns the number of handshakes that were rejected. */
    std::uint64_t rejected() const { return m_rejected; }

private:
    bool handle();
    bool isAccepted(const std::vector<std::string> &request) const;

    std::set<std::string> m_acceptedKeys;
    zmq::socket_t m_socket;
    std::uint64_t m_rejected = 0;
    SocketWatcher m_watcher;
};

} // namespace chervilmount::adapters
