#pragma once

#include "relay/frames/frames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

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
    bool m_closed = false;
};

} // namespace chervilmount::relay
