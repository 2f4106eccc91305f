#include "relay/http/backendpool.h"

#include "relay/http/socketoptions.h"
#include "relay/http/timedexchange.h"

#include <utility>

namespace chervilmount::relay {

BackendPool::BackendPool(boost::asio::io_context &context, TimerQueue &timers, std::string idField,
                         BackendPoolSettings settings, std::shared_ptr<BodyBudget> bodies)
    : m_context(context)
    , m_timers(timers)
    , m_idField(std::move(idField))
    , m_settings(settings)
    , m_bodies(std::move(bodies))
{
}

void BackendPool::setAddress(const std::string &address)
{
    if (address == m_address)
        return;
    m_endpoint = parseEndpoint(address);
    m_address = address;
    clear();
}

void BackendPool::acquire(bool newConnection, ConnectionCallback callback)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    while (!newConnection && !m_idle.empty()) {
        std::shared_ptr<HttpClientConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isReusable(now)) {
            callback(std::move(connection));
            return;
        }
        connection->close();
    }
    ++m_connectionsMade;
    auto connection = std::make_shared<HttpClientConnection>(m_context, m_idField,
                                                             m_settings.m_responseBytes, m_bodies);
    connectUntil(m_timers, now + m_settings.m_connectTimeout, connection, m_endpoint,
                 [connection, callback = std::move(callback)](bool connected) {
                     callback(connected ? connection : nullptr);
                 });
}

void BackendPool::release(std::shared_ptr<HttpClientConnection> connection)
{
    if (connection->isReusable(std::chrono::steady_clock::now()))
        m_idle.push_back(std::move(connection));
    else
        connection->close();
}

void BackendPool::clear()
{
    for (const std::shared_ptr<HttpClientConnection> &connection : m_idle)
        connection->close();
    m_idle.clear();
}

} // namespace chervilmount::relay
