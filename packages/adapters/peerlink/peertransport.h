#pragma once

#include "adapters/peerlink/meshkeys.h"
#include "adapters/peerlink/socketwatcher.h"
#include "adapters/peerlink/zapauthenticator.h"
#include "messages/frames/frames.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chervilmount::adapters {

/** The other end of a frame: a peer that this node connects to, or one that connected to it. */
struct PeerHandle
{
    /** True if the peer connected to this node; m_name is then its routing id. */
    bool m_inbound = false;
    /** Address ("ip:port") or routing id of the peer. */
    std::string m_name;

    // clang-tidy 14 reports the generated comparison with 0.
    auto operator<=>(const PeerHandle &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Settings of the links between nodes. */
struct PeerTransportSettings
{
    /** Address to bind, "ip:port". */
    std::string m_bindAddress;
    /** Address under which the other nodes reach this one. */
    std::string m_ownAddress;
    /** Start of this process in milliseconds since the epoch; makes the routing id unique. */
    std::uint64_t m_incarnation = 0;
    MeshKeys m_keys;
    /** Time that frames wait for a connection before they are discarded as undelivered. */
    std::chrono::milliseconds m_connectTimeout{500};
    /** Time that a connecting peer has for the CURVE handshake. */
    std::chrono::milliseconds m_handshakeTimeout{2000};
    /** Frames that may wait for one peer. */
    std::size_t m_pendingFrames = 4096;
};

/** Counters of the transport. */
struct PeerTransportCounters
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
    /** Received messages that were not a valid frame. */
    std::uint64_t m_malformed = 0;
    /** Frames discarded because the peer could not be reached. */
    std::uint64_t m_undelivered = 0;
};

/**
 * Exchanges frames between nodes over ZeroMQ: one bound ROUTER socket and one DEALER socket per
 * peer used, authenticated with CURVE. Frames to the own address are delivered without a socket.
 */
class PeerTransport
{
public:
    using FrameHandler = std::function<void(const PeerHandle &from, messages::Frame &&frame)>;
    /** Called with each queued frame that was discarded; it has not reached the peer. */
    using UndeliveredHandler = std::function<void(const PeerHandle &to, messages::Frame &&frame)>;

    /** @throws zmq::error_t if the address cannot be bound. */
    PeerTransport(const boost::asio::any_io_executor &executor, PeerTransportSettings settings,
                  FrameHandler received, UndeliveredHandler undelivered);
    ~PeerTransport();
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /**
     * Sends a frame, or queues it until the peer is connected.
     * @returns false if the frame was discarded at once; it has then not reached the peer.
     */
    bool send(const PeerHandle &to, const messages::Frame &frame);

    /** Closes the connection to a peer that is no longer used. */
    void disconnect(const std::string &address);

    /** Stops receiving and closes all connections. */
    void close();

    const PeerTransportCounters &counters() const { return m_counters; }
    std::uint64_t rejectedHandshakes() const { return m_authenticator.rejected(); }

private:
    struct Link;

    Link &linkTo(const std::string &address);
    bool sendToSelf(const PeerHandle &to, const messages::Frame &frame);
    bool sendInbound(const std::string &routingId, const messages::Frame &frame);
    bool sendOutbound(const std::string &address, const messages::Frame &frame);
    bool handleRouter();
    bool handleLink(Link &link);
    void flush(Link &link);
    void startTimeout(Link &link);
    void discardPending(Link &link);
    void deliver(const PeerHandle &from, const std::string &payload);

    boost::asio::any_io_executor m_executor;
    PeerTransportSettings m_settings;
    FrameHandler m_received;
    UndeliveredHandler m_undelivered;
    PeerTransportCounters m_counters;
    std::shared_ptr<bool> m_open = std::make_shared<bool>(true);
    zmq::context_t m_context;
    ZapAuthenticator m_authenticator;
    zmq::socket_t m_router;
    std::unique_ptr<SocketWatcher> m_routerWatcher;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

} // namespace chervilmount::adapters
