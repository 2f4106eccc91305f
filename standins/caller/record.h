#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::standins {

/** What the caller learned of one attempt. */
enum class Outcome {
    /** The whole response to the caller's own request. */
    Succeeded,
    /** Refused, stated as not run. */
    NotRun,
    /** Any other failure: the outcome is unknown to the caller. */
    Unknown,
    /** A successful response whose content is not the one for this request. */
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
    /** Whether the attempt repeats an earlier one. */
    bool m_isRetry = false;
};

using Records = std::vector<Record>;

} // namespace chervilmount::standins
