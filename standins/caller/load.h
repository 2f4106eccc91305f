#pragma once

#include "standins/caller/record.h"
#include "standins/caller/scenario.h"
#include "standins/support/httpclient.h"

#include <map>

namespace chervilmount::standins {

/** Runs of once-only requests by idempotency key, and the number of callers' keys seen by backend
 * servers. */
struct ObservedExecutions
{
    std::map<std::string, int> m_runs;
    std::uint64_t m_keysSeen = 0;
};

/** Sends the load of the scenario and waits for all responses. */
boost::asio::awaitable<void> sendLoad(const Scenario &scenario, ConnectionPool &pool,
                                      Records &records);

/** Queries the executions of all backend servers; skips unreachable ones. */
boost::asio::awaitable<void> readExecutions(const Scenario &scenario, ConnectionPool &pool,
                                            ObservedExecutions &executions);

} // namespace chervilmount::standins
