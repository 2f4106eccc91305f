#pragma once

#include <chrono>
#include <random>

namespace chervilmount::relay {

/**
 * Time after which something that failed is tried again: it doubles with each failure, and is drawn
 * from the upper half of that time, so that nodes that failed together do not return together.
 * @param first the time after the first failure.
 * @param failures failures in a row before this one.
 */
std::chrono::milliseconds retryDelay(std::chrono::milliseconds first,
                                     std::chrono::milliseconds longest, int failures,
                                     std::mt19937_64 &random);

} // namespace chervilmount::relay
