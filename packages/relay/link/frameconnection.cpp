#include "relay/link/frameconnection.h"

#include "relay/frames/framecodec.h"
#include "relay/http/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <utility>

namespace chervilmount::relay {

namespace {

constexpr std::size_t ReadBytes = 16UL * 1024;
/** Bytes that may be queued for a slow peer before the link is closed. */
constexpr std::size_t MaximumQueuedBytes = 32UL * 1024 * 1024;
/** Empty buffers with a larger capacity are released. */
constexpr std::size_t RetainedBufferBytes = 64UL * 1024;

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

void FrameConnection::start()
{
    setConnectionOptions(m_socket);
    limitUnacknowledgedTime(m_socket);
    read();
}

void FrameConnection::send(const Frame &frame)
{
    if (m_closed)
        return;
    const std::size_t before = m_outgoing.size();
    appendFrame(frame, m_outgoing);
    m_queuedBytes += m_outgoing.size() - before;
    if (m_outgoing.size() > MaximumQueuedBytes) {
        fail();
        return;
    }
    if (m_sending.empty())
        write();
}

void FrameConnection::close()
{
    m_closed = true;
    m_onFrame = nullptr;
    m_onClosed = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void FrameConnection::read()
{
    m_socket.async_read_some(
            m_input.prepare(ReadBytes),
            [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                if (self->m_closed)
                    return;
                if (error)
                    self->fail();
                else
                    self->received(bytes);
            });
}

void FrameConnection::received(std::size_t bytes)
{
    m_input.commit(bytes);
    while (!m_closed && m_input.size() >= LengthBytes) {
        const std::string_view data(static_cast<const char *>(m_input.data().data()),
                                    m_input.size());
        const std::size_t length = frameLength(data);
        if (length > MaximumFrameBytes) {
            fail();
            return;
        }
        if (data.size() < LengthBytes + length)
            break;
        std::optional<Frame> frame = parseFrame(data.substr(LengthBytes, length));
        m_input.consume(LengthBytes + length);
        if (!frame) {
            fail();
            return;
        }
        // The handler may close the connection, which destroys m_onFrame; call a copy.
        const std::function<void(Frame)> handler = m_onFrame;
        if (handler)
            handler(std::move(*frame));
    }
    if (m_closed)
        return;
    if (m_input.size() == 0 && m_input.capacity() > RetainedBufferBytes)
        m_input.shrink_to_fit();
    read();
}

void FrameConnection::write()
{
    m_sending.swap(m_outgoing);
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_sending),
            [self = shared_from_this()](boost::system::error_code error, std::size_t /*bytes*/) {
                if (self->m_closed)
                    return;
                if (error) {
                    self->fail();
                    return;
                }
                self->m_sentBytes += self->m_sending.size();
                self->m_sending.clear();
                if (self->m_sending.capacity() > RetainedBufferBytes)
                    self->m_sending.shrink_to_fit();
                if (!self->m_outgoing.empty())
                    self->write();
            });
}

void FrameConnection::fail()
{
    const std::function<void()> handler = m_onClosed;
    close();
    if (handler)
        handler();
}

} // namespace chervilmount::relay
