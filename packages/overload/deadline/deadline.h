#pragma once

#include <chrono>

namespace chervilmount::overload {

/** Time reserved at each hop for the response to reach the caller. */
constexpr std::chrono::milliseconds ResponseMargin{2};

/** @returns the time left until the deadline; 0 if it has passed. */
std::chrono::nanoseconds remainingTime(std::chrono::steady_clock::time_point deadline,
                                       std::chrono::steady_clock::time_point now);

/** @returns the deadline on this node's clock for a remaining time received in a message. */
std::chrono::steady_clock::time_point anchorDeadline(std::chrono::nanoseconds remaining,
                                                     std::chrono::steady_clock::time_point now);

/** @returns the deadline for a nested call: earlier by ResponseMargin, but never before now. */
std::chrono::steady_clock::time_point
deadlineForCallee(std::chrono::steady_clock::time_point deadline,
                  std::chrono::steady_clock::time_point now);

/** @returns whether a call with this wait and service time can end before its deadline. */
bool canMeetDeadline(std::chrono::nanoseconds expectedWait, std::chrono::nanoseconds serviceTime,
                     std::chrono::steady_clock::time_point deadline,
                     std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
