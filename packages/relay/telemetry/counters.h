#pragma once

#include "adapters/metrics/metrics.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** How a request ended at its entry node. */
enum class Outcome {
    Served,
    /** The backend server's own failure was passed on. */
    ServerFailure,
    /** 503 because a service on the request's way has no room. */
    RefusedOverload,
    /** 503 because no backend server could be reached, or no policy is known. */
    RefusedUnavailable,
    /** 429: the organisation exceeds its allotment. */
    RefusedAllotment,
    /** 401 or 404. */
    RefusedPolicy,
    /** 502: a backend server may have run the request, but no valid response came. */
    Unknown,
    /** 504. */
    Timeout,
    /** The caller left before the response. */
    Abandoned
};
constexpr std::size_t Outcomes = 9;

/** @returns the name used in logs and metrics. */
const char *nameOf(Outcome outcome);

/** Counts of one node since its start. */
struct Counters
{
    std::array<std::uint64_t, Outcomes> m_outcomes{};
    /** Time from a request's arrival to its response, by route. */
    std::map<std::string, adapters::DurationHistogram> m_latencies;
    /** Requests sent to a backend server again. */
    std::uint64_t m_repeats = 0;
    /** Repeats beside an attempt that still runs at a doubtful node. */
    std::uint64_t m_secondAttempts = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_runsRefused = 0;
    /** Answers of the backend server whose limit on requests could not be read. */
    std::uint64_t m_unreadableLimits = 0;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_storeFailures = 0;
    std::uint64_t m_linksLost = 0;
    std::uint64_t m_logLinesSuppressed = 0;
};

/** State that is shown beside the counts. */
struct Gauges
{
    std::uint64_t m_policyVersion = 0;
    std::size_t m_peersKnown = 0;
    std::size_t m_peersLinked = 0;
    /** Nodes among which the organisations' rates are divided. */
    std::size_t m_rateSharers = 0;
    /** Fraction of its even share of the rates that this node takes. */
    double m_rateFraction = 0.0;
    int m_running = 0;
    std::size_t m_waiting = 0;
    std::uint64_t m_backendConnections = 0;
    bool m_ready = false;
    /** Part of the requests that is admitted, by service needed and importance. */
    std::map<std::string, std::vector<double>> m_admitted;
};

/** @returns the metrics in the text exposition format. */
std::string metricsText(const Counters &counters, const Gauges &gauges);

} // namespace chervilmount::relay
