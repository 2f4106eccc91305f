#include "relay/timers/retrydelay.h"

#include <algorithm>
#include <cstdint>

namespace chervilmount::relay {

std::chrono::milliseconds retryDelay(std::chrono::milliseconds first,
                                     std::chrono::milliseconds longest, int failures,
                                     std::mt19937_64 &random)
{
    constexpr int MostDoublings = 5;
    const std::chrono::milliseconds delay =
            std::min(longest, first * (1 << std::clamp(failures, 0, MostDoublings)));
    std::uniform_int_distribution<std::int64_t> spread(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(spread(random));
}

} // namespace chervilmount::relay
