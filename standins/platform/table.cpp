#include "standins/platform/table.h"

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>
#include <vector>

namespace chervilmount::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t MaximumOperations = 100;

enum class Condition { None, Absent, Revision };

struct Operation
{
    std::string m_row;
    bool m_isDelete = false;
    Condition m_condition = Condition::None;
    std::uint64_t m_revision = 0;
    json::value m_value;
};

Condition parseCondition(const json::object &object)
{
    const json::value *condition = object.if_contains("condition");
    if (condition == nullptr || condition->as_string() == "none")
        return Condition::None;
    if (condition->as_string() == "absent")
        return Condition::Absent;
    if (condition->as_string() == "revision")
        return Condition::Revision;
    throw std::invalid_argument("unknown condition");
}

Operation parseOperation(const json::value &value)
{
    const json::object &object = value.as_object();
    Operation operation;
    operation.m_row = json::value_to<std::string>(object.at("row"));
    operation.m_isDelete = object.at("kind").as_string() == "delete";
    operation.m_condition = parseCondition(object);
    if (operation.m_condition == Condition::Revision)
        operation.m_revision = object.at("revision").to_number<std::uint64_t>();
    if (!operation.m_isDelete)
        operation.m_value = object.at("value");
    return operation;
}

bool isSatisfied(const Table &table, const Operation &operation)
{
    const std::map<std::string, Row>::const_iterator row = table.m_rows.find(operation.m_row);
    const bool exists = row != table.m_rows.end();
    switch (operation.m_condition) {
    case Condition::None:
        return true;
    case Condition::Absent:
        return !exists;
    case Condition::Revision:
        return exists && row->second.m_revision == operation.m_revision;
    }
    return false;
}

json::object applyOperation(Table &table, const Operation &operation)
{
    const std::uint64_t revision = ++table.m_lastRevision;
    if (operation.m_isDelete)
        table.m_rows.erase(operation.m_row);
    else
        table.m_rows[operation.m_row] = {revision, operation.m_value};
    return {{"applied", true}, {"revision", revision}};
}

json::object describeRefusal(const Table &table, const Operation &operation)
{
    const std::map<std::string, Row>::const_iterator row = table.m_rows.find(operation.m_row);
    if (row == table.m_rows.end())
        return {{"applied", false}, {"revision", 0}, {"value", nullptr}};
    return {{"applied", false},
            {"revision", row->second.m_revision},
            {"value", row->second.m_value}};
}

} // namespace

json::object applyTransaction(Table &table, const json::value &transaction)
{
    const json::object &object = transaction.as_object();
    const json::value *atomicValue = object.if_contains("atomic");
    const bool atomic = atomicValue != nullptr && atomicValue->as_bool();
    std::vector<Operation> operations;
    for (const json::value &operation : object.at("operations").as_array())
        operations.push_back(parseOperation(operation));
    if (operations.size() > MaximumOperations)
        throw std::invalid_argument("too many operations");

    bool allSatisfied = true;
    for (const Operation &operation : operations)
        allSatisfied = allSatisfied && isSatisfied(table, operation);

    json::array results;
    for (const Operation &operation : operations) {
        if ((allSatisfied || !atomic) && isSatisfied(table, operation))
            results.push_back(applyOperation(table, operation));
        else
            results.push_back(describeRefusal(table, operation));
    }
    return {{"results", std::move(results)}};
}

json::object listRows(const Table &table, const std::string &prefix)
{
    json::array rows;
    for (std::map<std::string, Row>::const_iterator row = table.m_rows.lower_bound(prefix);
         row != table.m_rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
        rows.push_back(json::object{{"row", row->first},
                                    {"revision", row->second.m_revision},
                                    {"value", row->second.m_value}});
    }
    return {{"rows", std::move(rows)}};
}

} // namespace chervilmount::standins
