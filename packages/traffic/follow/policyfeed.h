#pragma once

#include "traffic/storeera/storeera.h"

#include <chrono>
#include <optional>

namespace chervilmount::traffic {

/** How far a node that follows the policy in the store knows it: it reads the policy, then polls
 * for changes from the version of that read on. */
struct PolicyFeed
{
    /** Version up to which all changes are known; unset if the policy has to be read. */
    std::optional<StoreVersion> m_position;
    /** Until when reads may be behind, because the store has lost changes or its history. */
    std::chrono::steady_clock::time_point m_rereadsUntil;
};

/** @returns whether the policy is read again after each poll for now. */
bool isRereading(const PolicyFeed &feed, std::chrono::steady_clock::time_point now);

/** Records a read that returned the policy as of a version; nothing if that is not known. */
void recordRead(PolicyFeed &feed, const std::optional<StoreVersion> &version);

/**
 * Records a poll that returned all changes after the position up to a version. If that version does
 * not continue the position, or is not known, changes may be missing and the policy has to be read.
 * @returns whether it continues the position.
 */
bool recordPoll(PolicyFeed &feed, const std::optional<StoreVersion> &version,
                std::chrono::steady_clock::time_point now);

/** Records that the store does not have the changes after the position, or has come back from an
 * older copy. */
void loseHistory(PolicyFeed &feed, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
