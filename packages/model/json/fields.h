#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::model {

/** @returns a whole number, also one written with a fraction of zero; nothing for other values. */
std::optional<std::int64_t> integerOf(const boost::json::value &value);

/** Read one field; they return nothing if it is missing or of another type. @{ */
std::optional<std::string> textOf(const boost::json::object &object, std::string_view name);
std::optional<std::int64_t> integerOf(const boost::json::object &object, std::string_view name);
std::optional<double> numberOf(const boost::json::object &object, std::string_view name);
/** A time in seconds, with fractions. */
std::optional<std::chrono::milliseconds> durationOf(const boost::json::object &object,
                                                    std::string_view name);
/** @} */

} // namespace chervilmount::model
