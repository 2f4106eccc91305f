#include "relay/telemetry/boundedlog.h"

#include <algorithm>

namespace chervilmount::relay {

namespace {

/** Lines a second that each topic may write, and lines it may save up. */
struct Bound
{
    const char *m_category;
    double m_perSecond;
    double m_atOnce;
};

constexpr std::array<Bound, LogTopics> Bounds{{{"failure", 20.0, 60.0},
                                               {"request", 2.0, 10.0},
                                               {"run", 10.0, 40.0},
                                               {"state", 20.0, 100.0}}};

} // namespace

BoundedLog::BoundedLog(std::uint64_t &suppressed)
    : m_suppressed(suppressed)
{
}

bool BoundedLog::allows(LogTopic topic, TimePoint now)
{
    const std::size_t index = static_cast<std::size_t>(topic);
    const Bound &bound = Bounds.at(index);
    Allowance &allowance = m_allowances.at(index);
    const double elapsed = std::chrono::duration<double>(now - allowance.m_refilledAt).count();
    allowance.m_refilledAt = now;
    allowance.m_tokens = std::min(bound.m_atOnce, allowance.m_tokens + elapsed * bound.m_perSecond);
    if (allowance.m_tokens < 1.0) {
        ++m_suppressed;
        return false;
    }
    allowance.m_tokens -= 1.0;
    return true;
}

void BoundedLog::writeIfAllowed(LogTopic topic, adapters::LogLevel level,
                                const std::vector<adapters::LogField> &fields, TimePoint now)
{
    if (allows(topic, now))
        write(topic, level, fields);
}

void BoundedLog::write(LogTopic topic, adapters::LogLevel level,
                       const std::vector<adapters::LogField> &fields)
{
    adapters::logLine(Bounds.at(static_cast<std::size_t>(topic)).m_category, level, fields);
}

} // namespace chervilmount::relay
