#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::model {

/** How often a request on a route may run. */
enum class Execution {
    /** The request may be retried. */
    Idempotent,
    /** The request runs at most once; the caller must send an idempotency key. */
    OnceOnly
};

/** Maps requests by host, method and path prefix to a service. */
struct Route
{
    std::string m_name;
    std::string m_service;
    /** Host name without port; empty matches every host. */
    std::string m_host;
    /** Methods that match; empty matches every method. */
    std::vector<std::string> m_methods;
    /** Path prefix that matches at segment boundaries, for example "/slips". */
    std::string m_pathPrefix;
    Execution m_execution = Execution::Idempotent;
    /** An open route needs no key. */
    bool m_open = false;
    /** Name of the priority. */
    std::string m_priority;
    /** Time until the whole response must have been received. */
    std::chrono::milliseconds m_timeout{2000};
    /** Attempts allowed beyond the first for each call, over the whole call tree; 0 to 5. */
    int m_extraAttempts = 2;
    /** Whether requests may use the paid link to another region. */
    bool m_crossRegion = false;
    /** Largest accepted request body in bytes. */
    std::uint64_t m_maximumBodyBytes = std::uint64_t{1024} * 1024;
};

} // namespace chervilmount::model
