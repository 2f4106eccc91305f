#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::sharedstate {

/** Largest number of rows that the table service accepts in one transaction. */
constexpr std::size_t MaximumTransactionRows = 100;

/** Reads one row of the table service. */
struct RowRead
{
    std::string m_row;
};

/** Reads all rows whose names start with a prefix. */
struct RowScan
{
    std::string m_prefix;
};

enum class WriteKind { Put, Delete };

/** What must hold for a write to apply. */
enum class WriteCondition {
    None,
    /** The row does not exist. */
    Absent,
    /** The row has the given revision. */
    Revision
};

/** One conditional write of a row. */
struct RowWrite
{
    std::string m_row;
    WriteKind m_kind = WriteKind::Put;
    WriteCondition m_condition = WriteCondition::None;
    /** Used with WriteCondition::Revision only. */
    std::uint64_t m_revision = 0;
    /** Used with WriteKind::Put only. */
    boost::json::object m_value;
};

/** Up to MaximumTransactionRows writes, which the table service counts as one write. */
struct RowTransaction
{
    std::vector<RowWrite> m_writes;
    /** All writes apply or none; otherwise each applies or fails by itself. */
    bool m_atomic = false;
};

/** Reads an object of the object store. */
struct ObjectRead
{
    std::string m_name;
};

/** Writes an object of the object store. Objects are immutable by their name. */
struct ObjectWrite
{
    std::string m_name;
    std::string m_body;
};

using StoreOperation = std::variant<RowRead, RowScan, RowTransaction, ObjectRead, ObjectWrite>;

/** An operation that a decision asks the platform client to perform. */
struct StoreRequest
{
    /**
     * Repeated in the result. Unique within the state that issued the request; a process with
     * several states remembers which of them issued it.
     */
    std::uint64_t m_id = 0;
    StoreOperation m_operation;
    /** Without a response for this long the result is StoreOutcome::Unknown. */
    std::chrono::milliseconds m_timeout{500};
};

} // namespace chervilmount::sharedstate
