#pragma once

#include "adapters/http/httpconnection.h"
#include "adapters/tasks/signal.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Announcement of the backend server that this node serves. */
struct Announcement
{
    std::string m_service;
    /** HTTP address of the backend server, "ip:port". */
    std::string m_address;
    std::uint32_t m_slots = 0;
    std::uint32_t m_connections = 0;
    /** Load reported by the server, 0 to 1; can only lower the concurrency limit. */
    double m_load = 0.0;

    bool operator==(const Announcement &) const = default;
};

/** Validity period of an announcement. */
constexpr std::chrono::seconds AnnouncementLifetime{15};

/** The backend server of this node and the connection pool to it. */
class BackendServer
{
public:
    /** @param headBytes largest accepted response head. */
    BackendServer(const boost::asio::any_io_executor &executor, std::size_t headBytes,
                  std::chrono::milliseconds connectTimeout);

    /** Applies or renews an announcement.
     * @throws std::invalid_argument if its address is malformed. */
    void announce(const Announcement &announcement, std::chrono::steady_clock::time_point now);

    /** Withdraws the announcement: the backend server accepts no further work. */
    void withdraw();

    /** @returns the announcement, or nullptr if there is no valid one. */
    const Announcement *announced(std::chrono::steady_clock::time_point now) const;

    /**
     * Acquires an idle connection, or opens one within the announced number of connections.
     * @returns nullptr if none is available by the given time or the connect fails.
     */
    adapters::Task<std::unique_ptr<adapters::HttpConnection>>
    acquire(std::chrono::steady_clock::time_point until);

    /** Returns a connection to the pool, or closes it if it cannot be reused. */
    void release(std::unique_ptr<adapters::HttpConnection> connection);

    std::size_t openConnections() const { return m_open; }
    std::uint64_t connectFailures() const { return m_connectFailures; }

private:
    std::unique_ptr<adapters::HttpConnection> takeIdle();

    boost::asio::any_io_executor m_executor;
    std::size_t m_headBytes;
    std::chrono::milliseconds m_connectTimeout;
    std::optional<Announcement> m_announcement;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::chrono::steady_clock::time_point m_validUntil;
    std::vector<std::unique_ptr<adapters::HttpConnection>> m_idle;
    std::size_t m_open = 0;
    std::uint64_t m_connectFailures = 0;
    adapters::Signal m_released;
};

} // namespace chervilmount::node
