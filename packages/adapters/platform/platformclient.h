#pragma once

#include "adapters/http/httpconnection.h"
#include "adapters/tasks/task.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::adapters {

/** How a request to the platform ended. */
enum class PlatformStatus {
    Ok,
    /** The row or object does not exist. */
    Absent,
    /** The service refused the request; nothing was written. */
    Refused,
    /** No valid response was received; a write may have taken effect. */
    Unknown
};

/** A row of the table service. */
struct TableRow
{
    std::string m_name;
    std::uint64_t m_revision = 0;
    boost::json::value m_value;
};

/** Condition under which an operation of a transaction applies. */
enum class RowCondition { None, Absent, Revision };

/** One operation of a transaction. */
struct RowOperation
{
    std::string m_row;
    bool m_delete = false;
    RowCondition m_condition = RowCondition::None;
    /** Expected revision for RowCondition::Revision. */
    std::uint64_t m_revision = 0;
    boost::json::value m_value;
};

/** Result of one operation. */
struct RowResult
{
    bool m_applied = false;
    std::uint64_t m_revision = 0;
    /** Current value of the row if the operation was not applied. */
    boost::json::value m_value;
};

/** Result of reading rows. */
struct RowsResult
{
    PlatformStatus m_status = PlatformStatus::Unknown;
    std::vector<TableRow> m_rows;
};

/** Results of a transaction, in the order of its operations. */
struct TransactionResult
{
    PlatformStatus m_status = PlatformStatus::Unknown;
    std::vector<RowResult> m_results;
};

/** Result of reading an object. */
struct ObjectResult
{
    PlatformStatus m_status = PlatformStatus::Unknown;
    std::string m_body;
};

/** Addresses and limits of the platform's services. */
struct PlatformSettings
{
    std::string m_tableAddress;
    std::string m_objectAddress;
    std::chrono::milliseconds m_timeout{2000};
    /** Largest accepted response body. */
    std::size_t m_responseBytes = 64UL * 1024 * 1024;
};

/** Client of the transactional table service and the object store (HTTP/1.1 with JSON). */
class PlatformClient
{
public:
    /** @throws std::invalid_argument if an address is malformed. */
    PlatformClient(const boost::asio::any_io_executor &executor, const PlatformSettings &settings);

    /** Reads one row. */
    Task<RowsResult> readRow(std::string name);

    /** Reads all rows whose names start with a prefix. */
    Task<RowsResult> readRows(std::string prefix);

    /**
     * Applies operations in one request.
     * @param atomic if true, either all operations are applied or none; if false, each depends only
     *     on its own condition.
     */
    Task<TransactionResult> transact(std::vector<RowOperation> operations, bool atomic);

    /** Stores an object. */
    Task<PlatformStatus> putObject(std::string name, std::string body);

    /** Reads an object. */
    Task<ObjectResult> getObject(std::string name);

private:
    struct Reply
    {
        bool m_sent = false;
        int m_status = 0;
        std::string m_body;
    };

    Task<Reply> request(boost::asio::ip::tcp::endpoint endpoint, std::string method,
                        std::string target, std::string body);
    Task<bool> readResponse(HttpConnection &connection, Reply &reply);

    boost::asio::any_io_executor m_executor;
    PlatformSettings m_settings;
    boost::asio::ip::tcp::endpoint m_table;
    boost::asio::ip::tcp::endpoint m_objects;
};

/** Encodes all bytes but unreserved ones as %XX (RFC 3986). */
std::string percentEncode(const std::string &text);

} // namespace chervilmount::adapters
