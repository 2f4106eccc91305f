#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace chervilmount::standins {

/** One row of the table service. */
struct Row
{
    std::uint64_t m_revision = 0;
    boost::json::value m_value;
};

/** Content of the table service. */
struct Table
{
    std::map<std::string, Row> m_rows;
    std::uint64_t m_lastRevision = 0;
};

/**
 * Applies a transaction as described in docs/design.md, section 2.4.
 * @throws std::exception if the transaction is malformed; the table is then unchanged
 */
boost::json::object applyTransaction(Table &table, const boost::json::value &transaction);

/** @returns the rows whose name starts with the prefix. */
boost::json::object listRows(const Table &table, const std::string &prefix);

} // namespace chervilmount::standins
