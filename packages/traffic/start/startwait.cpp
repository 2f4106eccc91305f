#include "traffic/start/startwait.h"

#include <algorithm>

namespace chervilmount::traffic {

std::chrono::steady_clock::time_point
endOfStartWait(const StartWaitSettings &settings, std::chrono::steady_clock::time_point startedAt,
               std::chrono::steady_clock::time_point arrivedAt, std::chrono::milliseconds patience)
{
    const auto share = std::chrono::duration_cast<std::chrono::milliseconds>(
            patience * settings.m_deadlineShare);
    return std::min(arrivedAt + std::min(settings.m_longest, share),
                    startedAt + settings.m_startTime);
}

} // namespace chervilmount::traffic
