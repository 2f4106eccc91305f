#pragma once

#include "relay/frames/frames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervilmount::relay {

/** A connection to another node that carries frames in both directions. */
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);

    /** Starts to read. The handlers are called until close(). */
    void start();

    /** Queues a frame; frames that are queued while one is written are sent together. */
    void send(const Frame &frame);

    /** Ends the connection; no handler is called any more. */
    void close();

    bool isClosed() const { return m_closed; }

    /** Bytes queued and sent since the start; a status may be queued behind an answer that counts.
     * @{ */
    std::uint64_t queuedBytes() const { return m_queuedBytes; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    /** @} */

    /** Gets each frame. */
    std::function<void(Frame)> m_onFrame;
    /** Called once when the connection has ended. */
    std::function<void()> m_onClosed;

private:
    void read();
    void received(std::size_t bytes);
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_input;
    std::string m_queued;
    std::string m_writing;
    std::uint64_t m_queuedBytes = 0;
    std::uint64_t m_sentBytes = 0;
    bool m_closed = false;
};

} // namespace chervilmount::relay
