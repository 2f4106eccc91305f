#include "overload/reason/reason.h"

namespace chervilmount::overload {

std::string_view toText(Reason reason)
{
    switch (reason) {
    case Reason::SlotFree:
        return "slot-free";
    case Reason::Queued:
        return "queued";
    case Reason::Dequeued:
        return "dequeued";
    case Reason::AboveThreshold:
        return "above-threshold";
    case Reason::Probe:
        return "probe";
    case Reason::BelowThreshold:
        return "below-threshold";
    case Reason::QueueFull:
        return "queue-full";
    case Reason::DisplacedByMoreImportant:
        return "displaced-by-more-important";
    case Reason::SojournExceeded:
        return "sojourn-exceeded";
    case Reason::DeadlineTooShort:
        return "deadline-too-short";
    case Reason::DeadlinePassed:
        return "deadline-passed";
    case Reason::Leaving:
        return "leaving";
    case Reason::CallerGone:
        return "caller-gone";
    case Reason::RetryAllowed:
        return "retry-allowed";
    case Reason::NoExtraAttemptsLeft:
        return "no-extra-attempts-left";
    case Reason::RetryBudgetSpent:
        return "retry-budget-spent";
    case Reason::NotRetryable:
        return "not-retryable";
    case Reason::OnceOnlyMayHaveRun:
        return "once-only-may-have-run";
    case Reason::SameFailureDomain:
        return "same-failure-domain";
    case Reason::SameRegion:
        return "same-region";
    case Reason::OtherRegion:
        return "other-region";
    case Reason::NoCandidate:
        return "no-candidate";
    case Reason::LinkBudgetSpent:
        return "link-budget-spent";
    }
    return "unknown";
}

} // namespace chervilmount::overload
