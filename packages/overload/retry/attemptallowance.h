#pragma once

#include <optional>

namespace chervilmount::overload {

/**
 * Extra attempts (attempts beyond the first) that a call and its subtree may still use. The parts
 * delegated to nested calls are subtracted, so the sum over the call tree never grows.
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

/** Whether a service makes nested calls according to the configured call graph. */
enum class NestedCalls { None, Possible };

/**
 * Charges the first attempt of a nested call and delegates part of the allowance to it.
 * @returns the allowance of the nested call; nothing if the call must not be sent.
 */
std::optional<AttemptAllowance> allowFirstAttempt(AttemptAllowance &own, NestedCalls nestedCalls);

/**
 * Charges one extra attempt for a retry and delegates part of the allowance to it.
 * @param failed the allowance that was sent with the failed attempt; a retry of a repeat stays a
 *        repeat, since an earlier attempt may have made nested calls.
 * @param provenNotRun the failed attempt has made no nested call.
 * @returns the allowance of the retry; nothing if no extra attempt is left.
 */
std::optional<AttemptAllowance> allowRetry(AttemptAllowance &own, const AttemptAllowance &failed,
                                           NestedCalls nestedCalls, bool provenNotRun);

/**
 * Reclaims the unused part of a nested call's allowance. Not called when the response was lost: the
 * delegated part then counts as used.
 * @param handedOver the allowance that was sent with the attempt.
 * @param reportedUnused the unused part that came with the response; at most handedOver counts.
 */
void takeBackUnused(AttemptAllowance &own, const AttemptAllowance &handedOver, int reportedUnused);

} // namespace chervilmount::overload
