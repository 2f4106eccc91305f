#pragma once

#include "relay/http/httpclientconnection.h"
#include "relay/timers/timerqueue.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** Settings of the connections to the backend server. */
struct BackendPoolSettings
{
    /** Longest time for a new connection; the backend server is on the same machine. */
    std::chrono::milliseconds m_connectTimeout{500};
    /** Longest accepted response body in bytes. */
    std::size_t m_responseBytes = 32UL * 1024 * 1024;
};

/** Connections to the backend server beside the node. */
class BackendPool
{
public:
    /** Gets a connection, or nullptr if none could be made. */
    using ConnectionCallback = std::function<void(std::shared_ptr<HttpClientConnection>)>;

    /** @param bodies bound of all bodies of the process. */
    BackendPool(boost::asio::io_context &context, TimerQueue &timers, std::string idField,
                BackendPoolSettings settings, std::shared_ptr<BodyBudget> bodies);

    /** Sets the backend server's address; idle connections to another address are closed.
     * @throws std::invalid_argument if the address is malformed. */
    void setAddress(const std::string &address);

    /** Gets the connection used last, whose idle time is the shortest, or a new one. */
    void acquire(bool newConnection, ConnectionCallback callback);

    /** Takes back a connection after an exchange; one that cannot be used again is dropped. */
    void release(std::shared_ptr<HttpClientConnection> connection);

    /** Closes the idle connections. */
    void clear();

    std::uint64_t connectionsMade() const { return m_connectionsMade; }

private:
    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    std::string m_idField;
    BackendPoolSettings m_settings;
    std::shared_ptr<BodyBudget> m_bodies;
    std::string m_address;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::shared_ptr<HttpClientConnection>> m_idle;
    std::uint64_t m_connectionsMade = 0;
};

} // namespace chervilmount::relay
