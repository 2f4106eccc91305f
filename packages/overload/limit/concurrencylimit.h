#pragma once

#include <chrono>
#include <vector>

namespace chervilmount::overload {

/** How a call at the backend server ended, as far as it tells about the server's load. */
enum class CallResult {
    Success,
    Error,
    /** The deadline passed while the backend server was working, not waiting for a nested call. */
    Timeout,
    /** The backend server refused; counts as an error, and its short latency is never used. */
    ServerRefused,
    /** Cancelled by the caller, or failed because of a nested call: tells nothing. */
    NotCounted
};

/** Settings of the concurrency limit. */
struct LimitSettings
{
    /** Limit of a cold backend server. */
    double m_initial = 4.0;
    double m_minimum = 1.0;
    /** Latency above this multiple of the baseline cuts the limit. */
    double m_latencyFactor = 2.0;
    /** Factor of one cut; at most one cut per window. */
    double m_cut = 0.7;
    /** Share of failed calls in a window that cuts the limit. */
    double m_failedShare = 0.1;
    std::chrono::milliseconds m_window{100};
};

/**
 * Number of calls that the backend server gets at once. The latency is the server's own: the time
 * during which it waits for nested calls is not counted.
 */
struct ConcurrencyLimit
{
    double m_limit = 4.0;
    /** Slots that the backend server announced; upper bound of the limit. */
    int m_slots = 1;
    /** Limit from the backend server's load reports; can only lower the limit. */
    double m_reported = 1e9;
    /** Below this value the limit grows by one with each success, above it more slowly. */
    double m_slowStartEnd = 1e9;
    /** Low percentile of the latency without load, in seconds; 0 until known. */
    double m_baseline = 0.0;
    /** The last window was too slow; the limit is cut if the next one is too. */
    bool m_suspect = false;
    /** Median latency, in seconds, and limit before a series of cuts; 0 outside a series. */
    double m_medianBeforeCut = 0.0;
    double m_limitBeforeCut = 0.0;
    /** Calls that end earlier started before the last cut and do not show its effect. */
    std::chrono::steady_clock::time_point m_cutTakesEffectAt;
    /** Latencies of the window's successful calls, in seconds. */
    std::vector<float> m_latencies;
    int m_failed = 0;
    int m_peakInFlight = 0;
    std::chrono::steady_clock::time_point m_windowStart;
};

/** @returns a cold limit for a backend server that has just announced its slots. */
ConcurrencyLimit coldLimit(const LimitSettings &settings, int slots);

/** @returns the number of calls allowed at once, from 1 to the announced slots. */
int limitNow(const ConcurrencyLimit &limit);

/** Takes the slots from a renewed announcement; the limit is never raised by it. */
void announceSlots(ConcurrencyLimit &limit, int slots);

/**
 * Takes a load report of the backend server.
 * @param freeShare part of its slots the server says it can use, 0 to 1; only lowers the limit.
 */
void reportFreeShare(ConcurrencyLimit &limit, double freeShare);

/**
 * Takes the end of a call.
 * @param latency the server's own time, without nested calls.
 * @param inFlight calls at the server, including the one that ended.
 */
void recordResult(ConcurrencyLimit &limit, const LimitSettings &settings, CallResult result,
                  std::chrono::nanoseconds latency, int inFlight,
                  std::chrono::steady_clock::time_point now);

} // namespace chervilmount::overload
