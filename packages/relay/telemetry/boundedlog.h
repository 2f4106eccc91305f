#pragma once

#include "adapters/logging/decisionlog.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace chervilmount::relay {

/** Kinds of log lines with bounds of their own, so that one does not crowd out another. */
enum class LogTopic {
    /** Requests that were not served. */
    Failure,
    /** Requests that were served, and where they were placed. */
    Request,
    /** Runs beside the backend server that were refused or failed. */
    Run,
    /** Start, stop, configuration, members and dependencies. */
    State
};
constexpr std::size_t LogTopics = 4;

/** Writes log lines within a bound for each topic; further ones are counted. */
class BoundedLog
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param suppressed counts the lines that were not written; must outlive the log. */
    explicit BoundedLog(std::uint64_t &suppressed);

    /** @returns whether a line of the topic may be written now; takes it from the bound. */
    bool allows(LogTopic topic, TimePoint now);

    /** Writes a line if its topic allows one now; for lines whose fields cost little. */
    void writeIfAllowed(LogTopic topic, adapters::LogLevel level,
                        const std::vector<adapters::LogField> &fields, TimePoint now);

    /** Writes a line that allows() has allowed. */
    void write(LogTopic topic, adapters::LogLevel level,
               const std::vector<adapters::LogField> &fields);

private:
    struct Allowance
    {
        double m_tokens = 0.0;
        TimePoint m_refilledAt;
    };

    std::array<Allowance, LogTopics> m_allowances;
    std::uint64_t &m_suppressed;
};

} // namespace chervilmount::relay
