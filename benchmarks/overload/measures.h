#pragma once

#include "benchmarks/overload/deployment.h"
#include "benchmarks/overload/scenarios.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace chervilmount::scenarios {

/** A request of a caller including all its repeats. */
struct Original
{
    std::chrono::steady_clock::time_point m_arrivedAt;
    std::chrono::steady_clock::time_point m_succeededAt;
    std::uint8_t m_organisation = 0;
    std::uint8_t m_kind = 0;
    std::uint8_t m_domain = 0;
    bool m_succeeded = false;
    /** Refused by the rate enforcement, not for overload. */
    bool m_beyondRate = false;
};

/** One request at an entry node, for checks of individual decisions. */
struct RequestRecord
{
    std::chrono::steady_clock::time_point m_at;
    int m_organisation = 0;
    int m_service = 0;
    int m_priority = 0;
    /** Over-use level in the rank, raised by repeats. */
    int m_overUseLevel = 0;
    bool m_ended = false;
    bool m_succeeded = false;
};

/** Totals that are accumulated during the run. */
struct RunTotals
{
    /** Slot time in seconds of attempts that started during the faults. */
    double m_slotSeconds = 0.0;
    double m_wastedSlotSeconds = 0.0;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_boundViolations = 0;
    double m_largestAttemptsPerCall = 0.0;
    std::uint64_t m_events = 0;
};

/** Measures of section 1.3 for one run. */
struct Measures
{
    /** Successful requests per second during the faults, relative to the possible goodput. */
    double m_goodputShare = 0.0;
    /** Time from the end of the faults until the success share is 99 % of normal. */
    std::chrono::milliseconds m_recovery{0};
    /** Served share of the worst-served organisation within its share, relative to the best. */
    double m_worstOverBest = 0.0;
    double m_wastedShare = 0.0;
    /** Served share of the important requests during the faults. */
    double m_importantShare = 0.0;
    /** Attempts of requests beyond distinct calls + extra attempts. */
    std::uint64_t m_boundViolations = 0;
    double m_attemptsPerRequest = 0.0;
    std::uint64_t m_events = 0;
};

/** Computes the measures from the callers' results and the totals. */
Measures measure(const Deployment &deployment, const Scenario &scenario,
                 const std::vector<Original> &originals, const RunTotals &totals,
                 std::chrono::steady_clock::time_point runStart);

} // namespace chervilmount::scenarios
