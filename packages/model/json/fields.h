#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::model {

/** @returns the value if it is an integer or a floating-point number without a fractional part. */
std::optional<std::int64_t> integerOf(const boost::json::value &value);

/** Reads one field; returns nothing if it is missing or of another type. @{ */
std::optional<std::string> textOf(const boost::json::object &object, std::string_view name);
std::optional<std::int64_t> integerOf(const boost::json::object &object, std::string_view name);
std::optional<double> numberOf(const boost::json::object &object, std::string_view name);
/** The field is a duration in seconds, possibly fractional; one that does not fit is none. */
std::optional<std::chrono::milliseconds> durationOf(const boost::json::object &object,
                                                    std::string_view name);
/** @} */

} // namespace chervilmount::model
