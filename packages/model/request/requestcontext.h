#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

namespace chervilmount::model {

/** Largest depth of a call tree: calls on a path from the entry to the deepest call. */
constexpr int MaximumPathDepth = 15;

/** 128-bit identifier of a request, unique within the fleet. */
using RequestId = std::array<std::uint8_t, 16>;

/** Context that is propagated with a request through its call tree. */
struct RequestContext
{
    RequestId m_requestId{};
    /** Empty on open routes. */
    std::string m_organisation;
    /** 0 (most important) to PriorityLevels - 1. */
    int m_priority = 0;
    std::chrono::steady_clock::time_point m_deadline;
    /** Attempts beyond the first that this subtree may still use. */
    int m_extraAttempts = 0;
    /** Number of calls between the entry and this call; 0 at the entry. */
    int m_pathDepth = 0;
    /** Rank for admission at every hop; a lower value is more important.
     * @see overload/rank/rank.h */
    std::uint16_t m_rank = 0;
    bool m_onceOnly = false;
};

} // namespace chervilmount::model
