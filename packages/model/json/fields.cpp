#include "model/json/fields.h"

#include <boost/json/value.hpp>

#include <cmath>

namespace chervilmount::model {

namespace json = boost::json;

namespace {

// Integers up to this size are exact in a double.
constexpr double LargestExactInteger = 9007199254740992.0;

} // namespace

std::optional<std::int64_t> integerOf(const json::value &value)
{
    if (value.is_int64())
        return value.get_int64();
    if (!value.is_double() || std::trunc(value.get_double()) != value.get_double()
        || std::abs(value.get_double()) > LargestExactInteger)
        return std::nullopt;
    return static_cast<std::int64_t>(value.get_double());
}

std::optional<std::string> textOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

std::optional<std::int64_t> integerOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    return value == nullptr ? std::nullopt : integerOf(*value);
}

std::optional<double> numberOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    return value->to_number<double>();
}

std::optional<std::chrono::milliseconds> durationOf(const json::object &object,
                                                    std::string_view name)
{
    // Seconds beyond this do not fit into a 64-bit number of milliseconds.
    constexpr double LargestSeconds = 9e15;
    const std::optional<double> seconds = numberOf(object, name);
    if (!seconds || !(std::abs(*seconds) <= LargestSeconds))
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(*seconds));
}

} // namespace chervilmount::model
