#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::standins {

/** Outcome of one attempt as seen by the caller. */
enum class Outcome {
    /** Complete response to the caller's own request. */
    Succeeded,
    /** Refused and reported as not run. */
    NotRun,
    /** Any other failure; the request may have been run. */
    Unknown,
    /** Successful response whose content does not belong to this request. */
    WrongResponse
};

/** One attempt of the caller. */
struct Record
{
    std::size_t m_flow = 0;
    std::string m_idempotencyKey;
    std::chrono::steady_clock::time_point m_sent;
    std::chrono::steady_clock::time_point m_ended;
    Outcome m_outcome = Outcome::Unknown;
    /** Status code, or 0 without a response. */
    unsigned m_status = 0;
    /** Reason stated in the refusal. */
    std::string m_reason;
    /** Whether the attempt is a retry. */
    bool m_isRetry = false;
};

using Records = std::vector<Record>;

} // namespace chervilmount::standins
