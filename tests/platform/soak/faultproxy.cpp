#include "platform/soak/faultproxy.h"

#include "relay/http/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

using namespace chervilmount::relay;

namespace {

constexpr std::size_t BlockBytes = 65536;

} // namespace

FaultProxy::FaultProxy(boost::asio::io_context &context, TimerQueue &timers,
                       const std::string &listen, const std::string &target)
    : m_context(context)
    , m_timers(timers)
    , m_acceptor(context, parseEndpoint(listen))
    , m_target(parseEndpoint(target))
{
    accept();
}

void FaultProxy::reset()
{
    const std::list<ConnectionPointer> connections = m_connections;
    for (const ConnectionPointer &connection : connections) {
        boost::system::error_code ignored;
        connection->m_near.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        connection->m_far.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close(connection);
    }
}

void FaultProxy::silenceConnections()
{
    for (const ConnectionPointer &connection : m_connections)
        connection->m_isSilent = true;
}

void FaultProxy::accept()
{
    const auto connection = std::make_shared<Connection>(m_context);
    m_acceptor.async_accept(
            connection->m_near, [this, connection](boost::system::error_code error) {
                if (error)
                    return;
                accept();
                if (m_faults.m_refuses)
                    return;
                m_connections.push_back(connection);
                connection->m_far.async_connect(
                        m_target, [this, connection](boost::system::error_code connectError) {
                            if (connectError) {
                                close(connection);
                                return;
                            }
                            setConnectionOptions(connection->m_near);
                            setConnectionOptions(connection->m_far);
                            forward(connection, true);
                            forward(connection, false);
                        });
            });
}

void FaultProxy::forward(const ConnectionPointer &connection, bool isForward)
{
    const auto block = std::make_shared<std::string>(BlockBytes, '\0');
    boost::asio::ip::tcp::socket &from = isForward ? connection->m_near : connection->m_far;
    from.async_read_some(boost::asio::buffer(*block),
                         [this, connection, isForward, block](boost::system::error_code error,
                                                              std::size_t bytes) {
                             const bool drops =
                                     isForward ? m_faults.m_dropsForward : m_faults.m_dropsBackward;
                             if (drops)
                                 connection->m_isSilent = true;
                             if (error) {
                                 // A side that is silent does not learn of the other's end either.
                                 if (!connection->m_isSilent)
                                     close(connection);
                                 return;
                             }
                             if (connection->m_isSilent) {
                                 forward(connection, isForward);
                                 return;
                             }
                             write(connection, isForward, block, bytes);
                         });
}

void FaultProxy::write(const ConnectionPointer &connection, bool isForward,
                       const std::shared_ptr<std::string> &block, std::size_t bytes)
{
    const auto send = [this, connection, isForward, block, bytes] {
        boost::asio::ip::tcp::socket &target = isForward ? connection->m_far : connection->m_near;
        boost::asio::async_write(target, boost::asio::buffer(block->data(), bytes),
                                 [this, connection, isForward,
                                  block](boost::system::error_code error, std::size_t /*bytes*/) {
                                     if (error)
                                         close(connection);
                                     else
                                         forward(connection, isForward);
                                 });
    };
    if (m_faults.m_delay.count() > 0)
        m_timers.add(std::chrono::steady_clock::now() + m_faults.m_delay, send);
    else
        send();
}

void FaultProxy::close(const ConnectionPointer &connection)
{
    boost::system::error_code ignored;
    connection->m_near.close(ignored);
    connection->m_far.close(ignored);
    m_connections.remove(connection);
}
