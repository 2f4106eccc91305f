#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chervilmount::standins {

/**
 * Builds the response body for a test request, so that a caller can tell its own whole response
 * from a truncated or crossed one.
 * @param requestName unique name of the request
 * @param size length in bytes; shorter texts than the name with its separator are not cut
 */
std::string makeTestBody(std::string_view requestName, std::size_t size);

} // namespace chervilmount::standins
