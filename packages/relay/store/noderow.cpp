#include "relay/store/noderow.h"

#include "model/json/fields.h"
#include "relay/http/socketoptions.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>

namespace chervilmount::relay {

namespace json = boost::json;

namespace {

/** Reads when a process started or stopped. Unlike model::integerOf() this accepts no
 * floating-point numbers, as nodes write none. */
std::optional<std::chrono::milliseconds> timeOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_int64()
        || !traffic::isPlausibleStart(std::chrono::milliseconds(value->get_int64())))
        return std::nullopt;
    return std::chrono::milliseconds(value->get_int64());
}

bool isEndpoint(const std::string &address)
{
    try {
        parseEndpoint(address);
    } catch (const std::invalid_argument &) {
        return false;
    }
    return true;
}

std::optional<traffic::DepartedInstance> parseDeparture(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const std::optional<std::string> id = model::textOf(*object, "id");
    const std::optional<std::chrono::milliseconds> startedAt =
            timeOf(*object, "startedAtMilliseconds");
    if (!id || !startedAt)
        return std::nullopt;
    return traffic::DepartedInstance{*id, *startedAt};
}

json::object toJson(const traffic::CallProfile &profile)
{
    json::object result;
    for (const auto &[route, observed] : profile) {
        json::object calls;
        for (const auto &[callee, count] : observed.m_calls)
            calls[callee] = count;
        result[route] = json::object{{"runs", observed.m_runs},
                                     {"activeSeconds", observed.m_activeSeconds},
                                     {"calls", std::move(calls)}};
    }
    return result;
}

traffic::CallProfile parseProfile(const json::object &object)
{
    traffic::CallProfile profile;
    for (const json::key_value_pair &entry : object) {
        const json::object *route = entry.value().if_object();
        const json::value *calls = route == nullptr ? nullptr : route->if_contains("calls");
        if (calls == nullptr || !calls->is_object())
            continue;
        const std::optional<double> runs = model::numberOf(*route, "runs");
        const std::optional<double> activeSeconds = model::numberOf(*route, "activeSeconds");
        if (!runs || !activeSeconds)
            continue;
        traffic::RouteProfile observed{*runs, *activeSeconds, {}};
        for (const json::key_value_pair &call : calls->get_object()) {
            if (call.value().is_number())
                observed.m_calls[std::string(call.key())] = call.value().to_number<double>();
        }
        if (traffic::isPlausible(observed))
            profile[std::string(entry.key())] = std::move(observed);
    }
    return profile;
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
                             {"departed", std::move(departed)},
                             {"profile", toJson(row.m_profile)},
                             {"established", row.m_isEstablished},
                             {"stoppedAtMilliseconds", row.m_stoppedAt.count()}};
    return {row.m_record.m_node, json::serialize(value), {}};
}

std::optional<NodeRow> parseNodeRow(const StoreRow &row)
{
    boost::system::error_code error;
    const json::value value = json::parse(row.m_value, error);
    const json::object *object = error ? nullptr : value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const std::optional<std::string> address = model::textOf(*object, "address");
    const std::optional<std::string> domain = model::textOf(*object, "failureDomain");
    const std::optional<std::string> region = model::textOf(*object, "region");
    const std::optional<std::chrono::milliseconds> startedAt =
            timeOf(*object, "startedAtMilliseconds");
    if (!address || !isEndpoint(*address) || !domain || !region || !startedAt)
        return std::nullopt;
    NodeRow result;
    result.m_record.m_node = row.m_key;
    result.m_record.m_address = *address;
    result.m_record.m_failureDomain = *domain;
    result.m_record.m_region = *region;
    result.m_record.m_startedAt = *startedAt;
    if (const json::value *departed = object->if_contains("departed");
        departed != nullptr && departed->is_array()) {
        for (const json::value &entry : departed->as_array()) {
            if (const std::optional<traffic::DepartedInstance> instance = parseDeparture(entry))
                result.m_departed.push_back(*instance);
        }
    }
    if (const json::value *profile = object->if_contains("profile");
        profile != nullptr && profile->is_object())
        result.m_profile = parseProfile(profile->get_object());
    const json::value *established = object->if_contains("established");
    result.m_isEstablished =
            established != nullptr && established->is_bool() && established->get_bool();
    result.m_stoppedAt =
            timeOf(*object, "stoppedAtMilliseconds").value_or(std::chrono::milliseconds(0));
    return result;
}

} // namespace chervilmount::relay
