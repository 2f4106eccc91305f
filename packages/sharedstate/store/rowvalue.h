#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilmount::sharedstate {

/**
 * Identifies one attempt to write a row. Rows hold it as hexadecimal text, because JSON numbers
 * above 2^53 are not exact in every implementation.
 */
using Nonce = std::uint64_t;

/** @returns 16 lower-case hexadecimal digits. */
std::string toHex(std::uint64_t value);

/** @returns the number, or 0 if the text is not hexadecimal. */
std::uint64_t fromHex(std::string_view text);

/** @returns the text of a member, or empty text if it is absent or not a string. */
std::string textMember(const boost::json::object &value, std::string_view name);

/** @returns the number of a member, or 0 if it is absent or not a non-negative integer. */
std::uint64_t numberMember(const boost::json::object &value, std::string_view name);

} // namespace chervilmount::sharedstate
