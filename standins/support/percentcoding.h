#pragma once

#include <string>
#include <string_view>

namespace chervilmount::standins {

/** Decodes "%XX" sequences; other characters are copied. */
std::string percentDecode(std::string_view text);

/** @returns the decoded value of a query parameter, or an empty string. */
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace chervilmount::standins
