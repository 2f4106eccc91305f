#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace chervilmount::adapters {

/** Size limits and timeouts of a listener. */
struct HttpLimits
{
    std::size_t m_headBytes = 16UL * 1024;
    std::uint64_t m_bodyBytes = 64ULL * 1024 * 1024;
    /** Open connections; further ones are closed at once. */
    std::size_t m_connections = 10000;
    /** Time from the first bytes of a request to its complete head. */
    std::chrono::milliseconds m_headTimeout{10000};
    /** Time that a connection may be idle between requests. */
    std::chrono::milliseconds m_idleTimeout{60000};
    /** Time without progress after which reading a body or writing a response fails. */
    std::chrono::milliseconds m_progressTimeout{10000};
};

} // namespace chervilmount::adapters
