#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** What is known about a store operation. */
enum class StoreOutcome {
    /** The service responded; includes reads of absent rows and objects (status 404). */
    Done,
    /**
     * The operation had no effect and never will: status 429 or 503, or nothing was sent for lack
     * of a connection.
     */
    NotApplied,
    /** The operation was sent but no response arrived; it may still take effect at any time. */
    Unknown
};

/** One row as read. */
struct StoredRow
{
    std::string m_row;
    std::uint64_t m_revision = 0;
    boost::json::object m_value;
};

/** The result of one write of a transaction. */
struct WriteResult
{
    bool m_applied = false;
    /** The new revision, or the current one if the condition failed; 0 if the row is absent. */
    std::uint64_t m_revision = 0;
    /** The current value if the condition failed and the row exists. */
    std::optional<boost::json::object> m_value;
};

/** The result of a StoreRequest, delivered as an event to the state that issued it. */
struct StoreResult
{
    std::uint64_t m_id = 0;
    StoreOutcome m_outcome = StoreOutcome::Unknown;
    /** Rows found by a read or scan; empty if there are none. */
    std::vector<StoredRow> m_rows;
    /** One entry for each write of a transaction, in its order. */
    std::vector<WriteResult> m_writes;
    /** Body returned by an object read; absent if the object does not exist. */
    std::optional<std::string> m_object;
};

} // namespace chervilmount::sharedstate
