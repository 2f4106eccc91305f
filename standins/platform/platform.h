#pragma once

#include "standins/platform/faults.h"
#include "standins/platform/table.h"
#include "standins/support/httpserver.h"

#include <map>
#include <string>

namespace chervilmount::standins {

/** State of the platform stand-in: table service, object store and faults. */
struct Platform
{
    Table m_table;
    std::map<std::string, std::string> m_objects;
    Faults m_faults;
    RateLimiter m_reads;
    RateLimiter m_writes;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_rejectedCount = 0;
};

/**
 * Handles one request of the platform protocol (docs/design.md, section 2.4). POST /standin/faults
 * changes the faults, GET /standin/counts returns the request counts.
 */
boost::asio::awaitable<HttpResponse> handlePlatformRequest(Platform &platform, HttpRequest request);

} // namespace chervilmount::standins
