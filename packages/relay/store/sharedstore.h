#pragma once

#include "relay/frames/frames.h"

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
    /** Version of the store at which the row was last written; 0 if it does not exist. */
    std::uint64_t m_version = 0;
};

enum class WriteStatus {
    /** The row was written. */
    Written,
    /** The row has another version than expected; nothing was written. */
    Conflict,
    /** Nothing was written, or the outcome is unknown: the write may still be performed. */
    Failed,
};

/** Outcome of a write. */
struct WriteResult
{
    WriteStatus m_status = WriteStatus::Failed;
    /** The row as it stands; empty if the write failed. */
    StoreRow m_row;
};

/** What the node needs from the platform's store; implemented by the platform's adapter. */
class SharedStore
{
public:
    SharedStore() = default;
    SharedStore(const SharedStore &) = delete;
    SharedStore &operator=(const SharedStore &) = delete;
    virtual ~SharedStore() = default;

    using WriteCallback = std::function<void(const WriteResult &)>;
    /** Gets false if the read failed. */
    using RowsCallback = std::function<void(bool, std::vector<StoreRow>)>;

    /**
     * Writes one row if it still has the version that the passed row states. The condition keeps a
     * write that the store performs late from replacing a newer one.
     */
    virtual void write(const std::string &table, const StoreRow &row, WriteCallback callback) = 0;

    /** Reads all rows of a table as of one moment. */
    virtual void read(const std::string &table, RowsCallback callback) = 0;

    /**
     * Follows the policy document from now on. The callback gets every version that is seen; old
     * ones may come again.
     */
    virtual void followPolicy(std::function<void(const PolicyDocument &)> callback) = 0;

    /** Stops or resumes following. What has been missed meanwhile is read on resuming. */
    virtual void setFollowing(bool follows) = 0;

    /** Reads the policy again and follows it from there, for the case that the waiting call for
     * changes has silently lost its connection. */
    virtual void restartFollowing() = 0;

    /** The last calls were answered. */
    bool m_reachable = true;
    /** Called when m_reachable has changed. */
    std::function<void()> m_onReachable;

    /** Calls made so far, and those that failed. @{ */
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
    /** @} */
};

} // namespace chervilmount::relay
