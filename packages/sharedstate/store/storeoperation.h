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

/** Precondition of a write. */
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
    /** Whether all writes apply or none; otherwise each applies or fails independently. */
    bool m_atomic = false;
};

/** Reads an object of the object store. */
struct ObjectRead
{
    std::string m_name;
};

/** Writes an object of the object store. An object with a given name never changes. */
struct ObjectWrite
{
    std::string m_name;
    std::string m_body;
};

using StoreOperation = std::variant<RowRead, RowScan, RowTransaction, ObjectRead, ObjectWrite>;

/** An operation to be performed by the platform client. */
struct StoreRequest
{
    /**
     * Correlates the result with the request. Unique only within the state that issued the request,
     * so a process with several states must record which of them issued it.
     */
    std::uint64_t m_id = 0;
    StoreOperation m_operation;
    /** If no response arrives within this time, the result is StoreOutcome::Unknown. */
    std::chrono::milliseconds m_timeout{500};
};

} // namespace chervilmount::sharedstate
