#pragma once

#include <optional>

namespace chervilmount::overload {

/**
 * Attempts beyond the first that a call and everything below it may still use. The parts handed to
 * nested calls are subtracted, so the sum over the call tree never grows.
 */
struct AttemptAllowance
{
    int m_extraAttempts = 0;
    /**
     * The call repeats an attempt that may have made nested calls. Each nested call then counts as
     * an extra attempt even when it is sent for the first time by this attempt.
     */
    bool m_repeat = false;
};

/** Whether a service makes nested calls, from the configuration's call graph. */
enum class NestedCalls { None, Possible };

/**
 * Takes what the first attempt of a nested call costs and hands over its part of the allowance.
 * @returns the allowance of the nested call; nothing if the call must not be sent.
 */
std::optional<AttemptAllowance> allowFirstAttempt(AttemptAllowance &own, NestedCalls nestedCalls);

/**
 * Takes one extra attempt for a retry and hands over the retry's part.
 * @param failed the allowance that was sent with the failed attempt; a retry of a repeat stays a
 *        repeat, since an earlier attempt may have made nested calls.
 * @param provenNotRun the failed attempt has made no nested call.
 * @returns the allowance of the retry; nothing if no extra attempt is left.
 */
std::optional<AttemptAllowance> allowRetry(AttemptAllowance &own, const AttemptAllowance &failed,
                                           NestedCalls nestedCalls, bool provenNotRun);

/**
 * Takes back what a nested call did not use. Not called when the response was lost: the part handed
 * over then counts as used.
 * @param handedOver the allowance that was sent with the attempt.
 * @param reportedUnused the unused part that came with the response; at most handedOver counts.
 */
void takeBackUnused(AttemptAllowance &own, const AttemptAllowance &handedOver, int reportedUnused);

} // namespace chervilmount::overload
