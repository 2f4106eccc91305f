#include "overload/deadline/deadline.h"

#include <algorithm>

namespace chervilmount::overload {

std::chrono::nanoseconds remainingTime(std::chrono::steady_clock::time_point deadline,
                                       std::chrono::steady_clock::time_point now)
{
    return std::max<std::chrono::nanoseconds>(deadline - now, std::chrono::nanoseconds{0});
}

std::chrono::steady_clock::time_point anchorDeadline(std::chrono::nanoseconds remaining,
                                                     std::chrono::steady_clock::time_point now)
{
    return now + std::max(remaining, std::chrono::nanoseconds{0});
}

std::chrono::steady_clock::time_point
deadlineForCallee(std::chrono::steady_clock::time_point deadline,
                  std::chrono::steady_clock::time_point now)
{
    return std::max(deadline - ResponseMargin, std::min(deadline, now));
}

bool canMeetDeadline(std::chrono::nanoseconds expectedWait, std::chrono::nanoseconds serviceTime,
                     std::chrono::steady_clock::time_point deadline,
                     std::chrono::steady_clock::time_point now)
{
    return now < deadline && expectedWait + serviceTime <= deadline - now;
}

} // namespace chervilmount::overload
