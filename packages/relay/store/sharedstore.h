#pragma once

#include "relay/frames/frames.h"
#include "traffic/storeera/storeera.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** One row of the platform's store. */
struct StoreRow
{
    std::string m_key;
    std::string m_value;
    /** Version of the store at the last write of the row; its number is 0 if the row does not
     * exist.
     */
    traffic::StoreVersion m_version{};
};

enum class WriteStatus {
    /** The row was written. */
    Written,
    /** The row has another version than expected; nothing was written. */
    Conflict,
    /** Nothing was written, or the outcome is unknown and the write may still be performed. */
    Failed,
};

/** Outcome of a write. */
struct WriteResult
{
    WriteStatus m_status = WriteStatus::Failed;
    /** The row that the store now holds; empty if the write failed. */
    StoreRow m_row;
};

/** An entry of the store that cannot be read; the others beside it are used. */
struct UnreadableEntry
{
    std::string m_table;
    /** Empty if the entry has no readable key. */
    std::string m_key;
    /** What is wrong, and what is accepted. */
    std::string m_problem;
};

/** Interface to the platform's store; implemented by the platform's adapter. */
class SharedStore
{
public:
    SharedStore() = default;
    SharedStore(const SharedStore &) = delete;
    SharedStore &operator=(const SharedStore &) = delete;
    virtual ~SharedStore() = default;

    using WriteCallback = std::function<void(const WriteResult &)>;
    /** The first argument is false if the read failed. */
    using RowsCallback = std::function<void(bool, std::vector<StoreRow>)>;

    /**
     * Writes one row if its version in the store equals that of the passed row. The condition
     * prevents a delayed write from replacing a newer value.
     */
    virtual void write(const std::string &table, const StoreRow &row, WriteCallback callback) = 0;

    /** Reads a consistent snapshot of all rows of a table. */
    virtual void read(const std::string &table, RowsCallback callback) = 0;

    /**
     * Starts to follow the policy document. The callback gets every version that is received; older
     * versions may be repeated.
     */
    virtual void followPolicy(std::function<void(const PolicyDocument &)> callback) = 0;

    /** Pauses or resumes following. Resuming reads the current document first. */
    virtual void setFollowing(bool follows) = 0;

    /** Reads the policy again and follows it from there, in case the connection of the pending long
     * poll was lost unnoticed. */
    virtual void restartFollowing() = 0;

    /** Eras that the store has named. An answer of an earlier one counts as a failed call. */
    traffic::StoreEra m_era;
    /** Called when the store names its first era, a newer one, or for the first time since the last
     * era no comparable one; and once if its first answer names none. */
    std::function<void(traffic::EraReading)> m_onEra;
    /** False after several failed calls in a row. */
    bool m_reachable = true;
    /** When the store last answered a call that follows the policy; unset before the first one. */
    std::chrono::steady_clock::time_point m_policyHeardAt;
    /** Called when m_reachable has changed. */
    std::function<void()> m_onReachabilityChanged;
    /** Called for each entry that cannot be read. */
    std::function<void(const UnreadableEntry &)> m_onUnreadableEntry;

    /** Calls made so far, and those that failed. @{ */
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    /** @} */
};

} // namespace chervilmount::relay
