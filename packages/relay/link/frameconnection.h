#pragma once

#include "relay/frames/frames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervilmount::relay {

/** A TCP connection to another node that carries frames in both directions. */
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);

    /** Starts reading. The handlers are called until close(). */
    void start();

    /** Queues a frame; frames queued while a write is in progress are sent in one write.
     * The connection ends if too many bytes wait to be sent. */
    void send(const Frame &frame);

    /** Closes the connection; no handler is called afterwards. */
    void close();

    bool isClosed() const { return m_closed; }

    /** Total bytes queued and sent since the start. Their difference alone does not tell whether
     * an answer is unsent, because status frames are queued, too.
     * @{ */
    std::uint64_t queuedBytes() const { return m_queuedBytes; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    /** @} */

    /** Called for each received frame. */
    std::function<void(Frame)> m_onFrame;
    /** Called once when the connection fails or the peer closes it. */
    std::function<void()> m_onClosed;

private:
    void read();
    void received(std::size_t bytes);
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_input;
    std::string m_outgoing;
    std::string m_sending;
    std::uint64_t m_queuedBytes = 0;
    std::uint64_t m_sentBytes = 0;
    bool m_closed = false;
};

} // namespace chervilmount::relay
