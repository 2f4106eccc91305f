#pragma once

#include "relay/timers/timerqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <list>
#include <memory>
#include <string>

/** Faults of the connections through a proxy; each applies until it is reset. */
struct ProxyFaults
{
    /** Bytes from the connecting side are discarded. */
    bool m_dropsForward = false;
    /** Bytes to the connecting side are discarded. */
    bool m_dropsBackward = false;
    /** New connections are closed at once. */
    bool m_refuses = false;
    /** Delay of each block of bytes. */
    std::chrono::milliseconds m_delay{0};
};

/** Forwards TCP connections to one address, and harms them on demand. */
class FaultProxy
{
public:
    FaultProxy(boost::asio::io_context &context, chervilmount::relay::TimerQueue &timers,
               const std::string &listen, const std::string &target);

    /** Closes all connections with a reset. */
    void reset();

    /** Lets the present connections go silent for good; new ones work. */
    void silenceConnections();

    ProxyFaults m_faults;

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &context)
            : m_near(context)
            , m_far(context)
        {
        }

        boost::asio::ip::tcp::socket m_near;
        boost::asio::ip::tcp::socket m_far;
        /** A byte was lost, or the connection was silenced: nothing passes any more. */
        bool m_isSilent = false;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept();
    void forward(const ConnectionPointer &connection, bool isForward);
    void write(const ConnectionPointer &connection, bool isForward,
               const std::shared_ptr<std::string> &block, std::size_t bytes);
    void close(const ConnectionPointer &connection);

    boost::asio::io_context &m_context;
    chervilmount::relay::TimerQueue &m_timers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::list<ConnectionPointer> m_connections;
};
