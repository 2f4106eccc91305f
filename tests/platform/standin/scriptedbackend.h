#pragma once

#include "relay/rawcaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

/** Backend server whose answers are bytes that a test writes. It answers status checks itself. */
class ScriptedBackend
{
public:
    /** Answers one request on its connection. @param attempt the request's identifier. */
    using Script = std::function<void(RawCaller &connection, const std::string &attempt)>;

    /** @param id identifier in the answers to status checks. */
    ScriptedBackend(boost::asio::io_context &context, const std::string &address, std::string id);

    /** Answers the requests that have arrived; to be called while the event loop runs. */
    void serve();

    Script m_script;
    /** Requests other than status checks. */
    int m_arrivals = 0;

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket socket)
            : m_caller(std::move(socket))
        {
        }

        RawCaller m_caller;
        /** Bytes of requests that have been answered. */
        std::size_t m_handled = 0;
    };

    void accept();
    void serve(Connection &connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_id;
    std::list<std::unique_ptr<Connection>> m_connections;
};
