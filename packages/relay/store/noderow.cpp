#include "relay/store/noderow.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace chervilmount::relay {

namespace json = boost::json;

namespace {

const json::string *textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_string();
}

std::optional<std::int64_t> integerOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64())
        return std::nullopt;
    return value->as_int64();
}

std::optional<traffic::DepartedInstance> parseDeparture(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const json::string *id = textOf(*object, "id");
    const std::optional<std::int64_t> startedAt = integerOf(*object, "startedAtMilliseconds");
    if (id == nullptr || !startedAt)
        return std::nullopt;
    return traffic::DepartedInstance{std::string(*id), std::chrono::milliseconds(*startedAt)};
}

} // namespace

StoreRow toStoreRow(const NodeRow &row)
{
    json::array departed;
    for (const traffic::DepartedInstance &instance : row.m_departed)
        departed.push_back(json::object{{"id", instance.m_id},
                                        {"startedAtMilliseconds", instance.m_startedAt.count()}});
    const json::object value{{"address", row.m_record.m_address},
                             {"failureDomain", row.m_record.m_failureDomain},
                             {"region", row.m_record.m_region},
                             {"startedAtMilliseconds", row.m_record.m_startedAt.count()},
                             {"departed", std::move(departed)}};
    return {row.m_record.m_node, json::serialize(value)};
}

std::optional<NodeRow> parseNodeRow(const StoreRow &row)
{
    boost::system::error_code error;
    const json::value value = json::parse(row.m_value, error);
    const json::object *object = error ? nullptr : value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const json::string *address = textOf(*object, "address");
    const json::string *domain = textOf(*object, "failureDomain");
    const json::string *region = textOf(*object, "region");
    const std::optional<std::int64_t> startedAt = integerOf(*object, "startedAtMilliseconds");
    if (address == nullptr || domain == nullptr || region == nullptr || !startedAt)
        return std::nullopt;
    NodeRow result;
    result.m_record.m_node = row.m_key;
    result.m_record.m_address = std::string(*address);
    result.m_record.m_failureDomain = std::string(*domain);
    result.m_record.m_region = std::string(*region);
    result.m_record.m_startedAt = std::chrono::milliseconds(*startedAt);
    if (const json::value *departed = object->if_contains("departed");
        departed != nullptr && departed->is_array()) {
        for (const json::value &entry : departed->as_array()) {
            if (const std::optional<traffic::DepartedInstance> instance = parseDeparture(entry))
                result.m_departed.push_back(*instance);
        }
    }
    return result;
}

} // namespace chervilmount::relay
