#include "node/inbound/backendserver.h"

#include "adapters/http/httplistener.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

BackendServer::BackendServer(const boost::asio::any_io_executor &executor, std::size_t headBytes,
                             std::chrono::milliseconds connectTimeout)
    : m_executor(executor)
    , m_headBytes(headBytes)
    , m_connectTimeout(connectTimeout)
    , m_released(executor)
{
}

void BackendServer::announce(const Announcement &announcement,
                             std::chrono::steady_clock::time_point now)
{
    const boost::asio::ip::tcp::endpoint endpoint = adapters::parseEndpoint(announcement.m_address);
    if (endpoint != m_endpoint) {
        m_open -= m_idle.size();
        m_idle.clear();
        m_endpoint = endpoint;
    }
    m_announcement = announcement;
    m_validUntil = now + AnnouncementLifetime;
    m_released.notify();
}

void BackendServer::withdraw()
{
    m_announcement.reset();
}

const Announcement *BackendServer::announced(std::chrono::steady_clock::time_point now) const
{
    if (!m_announcement || now >= m_validUntil)
        return nullptr;
    return &*m_announcement;
}

std::unique_ptr<adapters::HttpConnection> BackendServer::takeIdle()
{
    while (!m_idle.empty()) {
        std::unique_ptr<adapters::HttpConnection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        // The server may have closed the connection since its last response.
        if (connection->isStillIdle())
            return connection;
        --m_open;
    }
    return nullptr;
}

adapters::Task<std::unique_ptr<adapters::HttpConnection>>
BackendServer::acquire(std::chrono::steady_clock::time_point until)
{
    for (;;) {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        const Announcement *announcement = announced(now);
        if (announcement == nullptr || now >= until)
            co_return nullptr;
        if (std::unique_ptr<adapters::HttpConnection> idle = takeIdle())
            co_return idle;
        if (m_open < announcement->m_connections) {
            ++m_open;
            auto connection = std::make_unique<adapters::HttpConnection>(m_executor, m_headBytes);
            const auto error = co_await connection->connect(
                    m_endpoint, std::min(until, now + m_connectTimeout));
            if (!error)
                co_return connection;
            --m_open;
            ++m_connectFailures;
            m_released.notify();
            co_return nullptr;
        }
        co_await m_released.waitUntil(until);
    }
}

void BackendServer::release(std::unique_ptr<adapters::HttpConnection> connection)
{
    if (connection->reusable() && connection->isStillIdle()
        && connection->endpoint() == m_endpoint) {
        m_idle.push_back(std::move(connection));
    } else {
        connection->close();
        --m_open;
    }
    m_released.notify();
}

} // namespace chervilmount::node
