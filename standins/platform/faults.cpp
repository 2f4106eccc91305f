#include "standins/platform/faults.h"

#include <boost/json/object.hpp>

#include <stdexcept>

namespace chervilmount::standins {

namespace json = boost::json;

void updateFaults(Faults &faults, const json::value &changes)
{
    Faults updated = faults;
    for (const json::key_value_pair &field : changes.as_object()) {
        if (field.key() == "down")
            updated.m_down = field.value().as_bool();
        else if (field.key() == "delayMilliseconds")
            updated.m_delay = std::chrono::milliseconds(field.value().to_number<std::int64_t>());
        else if (field.key() == "loseEveryNthWriteResponse")
            updated.m_loseEveryNthWriteResponse = field.value().to_number<std::uint64_t>();
        else if (field.key() == "writesPerSecond")
            updated.m_writesPerSecond = field.value().to_number<std::uint64_t>();
        else if (field.key() == "readsPerSecond")
            updated.m_readsPerSecond = field.value().to_number<std::uint64_t>();
        else
            throw std::invalid_argument("unknown fault " + std::string(field.key()));
    }
    faults = updated;
}

bool takeFromLimit(RateLimiter &limiter, std::uint64_t perSecond,
                   std::chrono::steady_clock::time_point now)
{
    if (now - limiter.m_windowStart >= std::chrono::seconds(1)) {
        limiter.m_windowStart = now;
        limiter.m_used = 0;
    }
    if (limiter.m_used >= perSecond)
        return false;
    ++limiter.m_used;
    return true;
}

} // namespace chervilmount::standins
