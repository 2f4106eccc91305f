#pragma once

#include <string_view>

namespace chervilmount::overload {

/** Why a decision was taken; written to the decision log line and to Chervilmount-Reason. */
enum class Reason {
    SlotFree,
    Queued,
    Dequeued,
    AboveThreshold,
    Probe,
    BelowThreshold,
    QueueFull,
    DisplacedByMoreImportant,
    SojournExceeded,
    DeadlineTooShort,
    DeadlinePassed,
    Leaving,
    CallerGone,
    RetryAllowed,
    NoExtraAttemptsLeft,
    RetryBudgetSpent,
    NotRetryable,
    OnceOnlyMayHaveRun,
    SameFailureDomain,
    SameRegion,
    OtherRegion,
    NoCandidate,
    LinkBudgetSpent
};

/** @returns the reason as a lower-case word for logs and headers, for example "above-threshold". */
std::string_view toText(Reason reason);

} // namespace chervilmount::overload
