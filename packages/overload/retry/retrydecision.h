#pragma once

#include "overload/reason/reason.h"
#include "overload/retry/attemptallowance.h"
#include "overload/retry/retrybudget.h"

#include <chrono>
#include <optional>
#include <random>

namespace chervilmount::overload {

/** How an attempt failed, as seen by the node that sent it. */
enum class Failure {
    /** Refused before anything was sent to the backend server, or reported as not run by it. */
    NotRun,
    /** Error or unproven refusal of the backend server, broken connection or timeout. */
    MayHaveRun,
    /** Failure further down the call tree; the node next to it has already decided on a retry. */
    FurtherDown
};

/** A failed attempt, for the decision on a retry. */
struct FailedAttempt
{
    Failure m_failure = Failure::MayHaveRun;
    bool m_onceOnly = false;
    NestedCalls m_nestedCalls = NestedCalls::Possible;
    /** Allowance that was sent with the attempt. */
    AttemptAllowance m_handedOver;
    std::chrono::steady_clock::time_point m_deadline;
    /** Low percentile of the service time; a retry that cannot finish in time is not sent. */
    std::chrono::nanoseconds m_serviceTime{0};
};

/** Whether and when to send the attempt again. */
struct RetryDecision
{
    /** Allowance of the retry; empty means no retry. */
    std::optional<AttemptAllowance> m_allowance;
    std::chrono::nanoseconds m_delay{0};
    Reason m_reason = Reason::NotRetryable;
};

/** Decides on a retry; uses an extra attempt and a budget token only if the retry is allowed. */
RetryDecision decideRetry(const FailedAttempt &attempt, AttemptAllowance &own, RetryBudget &budget,
                          const RetryBudgetSettings &settings,
                          std::chrono::steady_clock::time_point now, std::mt19937_64 &random);

/** Base of the retry delay sent to a refused caller, before jitter. */
constexpr std::chrono::milliseconds BaseRetryDelay{500};

/**
 * Delay for the Chervilmount-Retry-After-Ms header of a refusal.
 * @param repeats earlier repeats of this request; each doubles the delay, up to 16 times.
 * @returns a uniformly distributed value of 50 % to 150 % of the delay.
 */
std::chrono::milliseconds callerRetryDelay(int repeats, std::mt19937_64 &random);

} // namespace chervilmount::overload
