#pragma once

#include "relay/http/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

/** Runs the event loop until the condition holds. @returns whether it did in time. */
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition,
                     std::chrono::milliseconds limit = std::chrono::seconds{5})
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        context.restart();
        context.run_for(std::chrono::milliseconds{1});
    }
    return true;
}

/** @returns how often a text occurs in another one. */
inline int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

/** One end of a connection that sends bytes as they are given and keeps all that arrives. */
class RawCaller
{
public:
    RawCaller(boost::asio::io_context &context, const std::string &address)
        : m_socket(context)
    {
        m_socket.connect(chervilmount::relay::parseEndpoint(address));
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
        read();
    }

    explicit RawCaller(boost::asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
        read();
    }

    ~RawCaller() { close(); }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /** Sends bytes; blocks until the system has taken them. */
    void send(const std::string &bytes)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
        m_sendFailed = m_sendFailed || error;
    }

    /** Sends as many of the bytes as the system takes at once. @returns how many it took. */
    std::size_t trySend(std::string_view bytes)
    {
        m_socket.non_blocking(true);
        boost::system::error_code error;
        const std::size_t taken = m_socket.write_some(boost::asio::buffer(bytes), error);
        m_sendFailed = m_sendFailed || (error && error != boost::asio::error::would_block);
        return taken;
    }

    /** What arrives stays with the system until resumeReading(). */
    void stopReading() { m_socket.cancel(); }

    void resumeReading() { read(); }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    /** Ends this end's bytes in order; the connection stays open. */
    void endOutput()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /** Resets the connection. */
    void reset()
    {
        boost::system::error_code ignored;
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    /** All that has arrived. */
    std::string m_received;
    /** The other end has closed the connection. */
    bool m_closed = false;
    bool m_sendFailed = false;

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_input),
                                 [this](boost::system::error_code error, std::size_t bytes) {
                                     if (error == boost::asio::error::operation_aborted)
                                         return;
                                     m_received.append(m_input.data(), bytes);
                                     m_closed = static_cast<bool>(error);
                                     if (!error)
                                         read();
                                 });
    }

    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_input{};
};
