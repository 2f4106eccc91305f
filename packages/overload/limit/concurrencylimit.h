#pragma once

#include <chrono>
#include <vector>

namespace chervilmount::overload {

/** Result of a call at the backend server, as a signal of the server's load. */
enum class CallResult {
    Success,
    Error,
    /** The deadline passed while the backend server was working, not waiting for a nested call. */
    Timeout,
    /** The backend server refused; counts as an error, and its latency is ignored. */
    ServerRefused,
    /** Cancelled by the caller, or failed because of a nested call; ignored. */
    NotCounted
};

/** Settings of the concurrency limit. */
struct LimitSettings
{
    /** Limit of a cold backend server. */
    double m_initial = 4.0;
    double m_minimum = 1.0;
    /** Median latency above this multiple of the baseline cuts the limit. */
    double m_latencyFactor = 2.0;
    /** Factor of one cut; at most one cut per window. */
    double m_cut = 0.7;
    /** Fraction of failed calls in a window above which the limit is cut. */
    double m_failedShare = 0.1;
    std::chrono::milliseconds m_window{100};
};

/**
 * Adaptive concurrency limit of a backend server. Latencies are the server's own: the time during
 * which it waits for nested calls is excluded.
 */
struct ConcurrencyLimit
{
    double m_limit = 4.0;
    /** Slots that the backend server announced; upper bound of the limit. */
    int m_slots = 1;
    /** Upper bound from the backend server's load reports. */
    double m_reported = 1e9;
    /** Below this value the limit grows by one per success, above it once per window. */
    double m_slowStartEnd = 1e9;
    /** Low percentile of the latency without load, in seconds; 0 until known. */
    double m_baseline = 0.0;
    /** The last window was too slow; if the next one is too, the limit is cut. */
    bool m_suspect = false;
    /** Median latency, in seconds, and limit before a series of cuts; 0 outside a series. */
    double m_medianBeforeCut = 0.0;
    double m_limitBeforeCut = 0.0;
    /** Latencies of calls that end before this time do not show the effect of the last cut and are
     * ignored. */
    std::chrono::steady_clock::time_point m_cutTakesEffectAt;
    /** Latencies of the window's successful calls, in seconds. */
    std::vector<float> m_latencies;
    int m_failed = 0;
    int m_peakInFlight = 0;
    std::chrono::steady_clock::time_point m_windowStart;
};

/** @returns the initial limit of a backend server that has just announced its slots. */
ConcurrencyLimit coldLimit(const LimitSettings &settings, int slots);

/** @returns the maximum number of concurrent calls, from 1 to the announced slots. */
int limitNow(const ConcurrencyLimit &limit);

/** Applies the slots of a renewed announcement; never raises the limit. */
void announceSlots(ConcurrencyLimit &limit, int slots);

/**
 * Applies a load report of the backend server.
 * @param freeShare fraction of its slots that the server reports as usable, 0 to 1; can only lower
 * the limit.
 */
void reportFreeShare(ConcurrencyLimit &limit, double freeShare);

/**
 * Records the end of a call.
 * @param latency the server's own time, without nested calls.
 * @param inFlight calls at the server, including the one that ended.
 */
void recordResult(ConcurrencyLimit &limit, const LimitSettings &settings, CallResult result,
                  std::chrono::nanoseconds latency, int inFlight,
                  std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
