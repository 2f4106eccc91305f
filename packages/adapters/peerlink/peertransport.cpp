#include "adapters/peerlink/peertransport.h"

#include "adapters/peerlink/multipart.h"
#include "messages/codec/framecodec.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace chervilmount::adapters {

namespace {

// Messages received in one run of a handler; limits how long one socket blocks the I/O thread.
constexpr int ReceiveBatch = 64;

// Messages queued inside ZeroMQ for one peer; the flow-control windows of the calls limit the
// bytes.
constexpr int HighWaterMark = 4096;

constexpr std::chrono::milliseconds ReconnectInterval{50};
constexpr std::chrono::milliseconds MaximumReconnectInterval{1000};

int toMilliseconds(std::chrono::milliseconds duration)
{
    return static_cast<int>(duration.count());
}

void setCommonOptions(zmq::socket_t &socket, const PeerTransportSettings &settings)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, HighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, HighWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(messages::MaximumFrameBytes));
    socket.set(zmq::sockopt::handshake_ivl, toMilliseconds(settings.m_handshakeTimeout));
    socket.set(zmq::sockopt::curve_publickey, settings.m_keys.m_publicKey);
    socket.set(zmq::sockopt::curve_secretkey, settings.m_keys.m_secretKey);
}

/** A frame that waits for a connection, and its encoded form. */
struct PendingFrame
{
    messages::Frame m_frame;
    std::string m_payload;
};

} // namespace

struct PeerTransport::Link : std::enable_shared_from_this<PeerTransport::Link>
{
    Link(const boost::asio::any_io_executor &executor, zmq::context_t &context, std::string address)
        : m_address(std::move(address))
        , m_socket(context, zmq::socket_type::dealer)
        , m_timer(executor)
    {
    }

    std::string m_address;
    zmq::socket_t m_socket;
    std::deque<PendingFrame> m_pending;
    boost::asio::steady_timer m_timer;
    bool m_timeoutRunning = false;
    std::unique_ptr<SocketWatcher> m_watcher;
};

PeerTransport::PeerTransport(const boost::asio::any_io_executor &executor,
                             PeerTransportSettings settings, FrameHandler received,
                             UndeliveredHandler undelivered)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_received(std::move(received))
    , m_undelivered(std::move(undelivered))
    , m_context(1)
    , m_authenticator(executor, m_context, m_settings.m_keys.m_acceptedKeys)
    , m_router(m_context, zmq::socket_type::router)
{
    setCommonOptions(m_router, m_settings);
    m_router.set(zmq::sockopt::curve_server, true);
    m_router.set(zmq::sockopt::router_mandatory, true);
    m_router.set(zmq::sockopt::router_handover, true);
    m_router.bind("tcp://" + m_settings.m_bindAddress);
    m_routerWatcher = std::make_unique<SocketWatcher>(m_executor, m_router,
                                                      [this] { return handleRouter(); });
}

PeerTransport::~PeerTransport()
{
    close();
}

void PeerTransport::close()
{
    *m_open = false;
    m_routerWatcher.reset();
    m_links.clear();
}

bool PeerTransport::send(const PeerHandle &to, const messages::Frame &frame)
{
    if (!*m_open)
        return false;
    if (to.m_name == m_settings.m_ownAddress)
        return sendToSelf(to, frame);
    const bool sent = to.m_inbound ? sendInbound(to.m_name, frame) : sendOutbound(to.m_name, frame);
    if (!sent)
        ++m_counters.m_undelivered;
    return sent;
}

bool PeerTransport::sendToSelf(const PeerHandle &to, const messages::Frame &frame)
{
    const PeerHandle from{!to.m_inbound, to.m_name};
    boost::asio::post(m_executor, [this, open = m_open, from, copy = frame]() mutable {
        if (*open)
            m_received(from, std::move(copy));
    });
    return true;
}

bool PeerTransport::sendInbound(const std::string &routingId, const messages::Frame &frame)
{
    std::string payload = messages::encodeFrame(frame);
    if (payload.size() > messages::MaximumFrameBytes)
        return false;
    const bool sent = sendMultipart(m_router, {routingId, std::move(payload)});
    m_routerWatcher->recheck();
    if (sent)
        ++m_counters.m_sent;
    return sent;
}

bool PeerTransport::sendOutbound(const std::string &address, const messages::Frame &frame)
{
    Link &link = linkTo(address);
    if (link.m_pending.size() >= m_settings.m_pendingFrames)
        return false;
    std::string payload = messages::encodeFrame(frame);
    if (payload.size() > messages::MaximumFrameBytes)
        return false;
    link.m_pending.push_back({frame, std::move(payload)});
    flush(link);
    link.m_watcher->recheck();
    return true;
}

PeerTransport::Link &PeerTransport::linkTo(const std::string &address)
{
    std::shared_ptr<Link> &entry = m_links[address];
    if (entry)
        return *entry;
    entry = std::make_shared<Link>(m_executor, m_context, address);
    Link &link = *entry;
    setCommonOptions(link.m_socket, m_settings);
    link.m_socket.set(zmq::sockopt::curve_serverkey, m_settings.m_keys.m_serverKey);
    link.m_socket.set(zmq::sockopt::routing_id,
                      m_settings.m_ownAddress + "#" + std::to_string(m_settings.m_incarnation));
    // Frames stay in m_pending until the connection is established, so that a discarded frame is
    // known not to have reached the peer.
    link.m_socket.set(zmq::sockopt::immediate, true);
    link.m_socket.set(zmq::sockopt::reconnect_ivl, toMilliseconds(ReconnectInterval));
    link.m_socket.set(zmq::sockopt::reconnect_ivl_max, toMilliseconds(MaximumReconnectInterval));
    link.m_socket.connect("tcp://" + address);
    link.m_watcher = std::make_unique<SocketWatcher>(m_executor, link.m_socket,
                                                     [this, &link] { return handleLink(link); });
    return link;
}

void PeerTransport::disconnect(const std::string &address)
{
    const auto entry = m_links.find(address);
    if (entry == m_links.end())
        return;
    discardPending(*entry->second);
    m_links.erase(address);
}

bool PeerTransport::handleRouter()
{
    for (int count = 0; count < ReceiveBatch; ++count) {
        std::optional<std::vector<std::string>> parts = receiveMultipart(m_router);
        if (!parts)
            return false;
        if (parts->size() != 2) {
            ++m_counters.m_malformed;
            continue;
        }
        deliver({true, std::move(parts->front())}, parts->back());
        if (!*m_open)
            return false;
    }
    return true;
}

bool PeerTransport::handleLink(Link &link)
{
    flush(link);
    for (int count = 0; count < ReceiveBatch; ++count) {
        std::optional<std::vector<std::string>> parts = receiveMultipart(link.m_socket);
        if (!parts) {
            // Receiving may have consumed the edge that reports the socket writable.
            flush(link);
            return false;
        }
        if (parts->size() != 1) {
            ++m_counters.m_malformed;
            continue;
        }
        deliver({false, link.m_address}, parts->front());
        if (!*m_open)
            return false;
    }
    return true;
}

void PeerTransport::flush(Link &link)
{
    while (!link.m_pending.empty()) {
        if (!sendMultipart(link.m_socket, {link.m_pending.front().m_payload})) {
            startTimeout(link);
            return;
        }
        ++m_counters.m_sent;
        link.m_pending.pop_front();
    }
    if (link.m_timeoutRunning) {
        link.m_timeoutRunning = false;
        link.m_timer.cancel();
    }
}

void PeerTransport::startTimeout(Link &link)
{
    if (link.m_timeoutRunning)
        return;
    link.m_timeoutRunning = true;
    link.m_timer.expires_after(m_settings.m_connectTimeout);
    link.m_timer.async_wait(
            [this, weakLink = link.weak_from_this()](boost::system::error_code error) {
                const std::shared_ptr<Link> waiting = weakLink.lock();
                if (error || !waiting || !waiting->m_timeoutRunning)
                    return;
                waiting->m_timeoutRunning = false;
                flush(*waiting);
                discardPending(*waiting);
            });
}

void PeerTransport::discardPending(Link &link)
{
    std::deque<PendingFrame> pending;
    pending.swap(link.m_pending);
    for (PendingFrame &frame : pending) {
        ++m_counters.m_undelivered;
        m_undelivered({false, link.m_address}, std::move(frame.m_frame));
    }
}

void PeerTransport::deliver(const PeerHandle &from, const std::string &payload)
{
    std::optional<messages::Frame> frame = messages::decodeFrame(payload);
    if (!frame) {
        ++m_counters.m_malformed;
        return;
    }
    ++m_counters.m_received;
    m_received(from, std::move(*frame));
}

} // namespace chervilmount::adapters
