#include "overload/retry/attemptallowance.h"

#include <algorithm>

namespace chervilmount::overload {

namespace {

AttemptAllowance handOver(AttemptAllowance &own, NestedCalls nestedCalls, bool repeat)
{
    AttemptAllowance part;
    part.m_repeat = repeat && nestedCalls == NestedCalls::Possible;
    if (nestedCalls == NestedCalls::None)
        return part;
    // In a repeated subtree each nested call uses an extra attempt, so it gets all that are left.
    // Otherwise half is kept for retries by this node and for further calls.
    part.m_extraAttempts = part.m_repeat ? own.m_extraAttempts : own.m_extraAttempts / 2;
    own.m_extraAttempts -= part.m_extraAttempts;
    return part;
}

} // namespace

std::optional<AttemptAllowance> allowFirstAttempt(AttemptAllowance &own, NestedCalls nestedCalls)
{
    if (own.m_repeat) {
        if (own.m_extraAttempts < 1)
            return std::nullopt;
        --own.m_extraAttempts;
    }
    return handOver(own, nestedCalls, own.m_repeat);
}

std::optional<AttemptAllowance> allowRetry(AttemptAllowance &own, const AttemptAllowance &failed,
                                           NestedCalls nestedCalls, bool provenNotRun)
{
    if (own.m_extraAttempts < 1)
        return std::nullopt;
    --own.m_extraAttempts;
    return handOver(own, nestedCalls, own.m_repeat || failed.m_repeat || !provenNotRun);
}

void takeBackUnused(AttemptAllowance &own, const AttemptAllowance &handedOver, int reportedUnused)
{
    own.m_extraAttempts += std::clamp(reportedUnused, 0, handedOver.m_extraAttempts);
}

} // namespace chervilmount::overload
