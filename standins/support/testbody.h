#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chervilmount::standins {

/**
 * Builds the response body for a test request, so that a caller can detect a truncated response or
 * one that belongs to another request.
 * @param requestName unique name of the request
 * @param size length in bytes; the name with its separator is never truncated
 */
std::string makeTestBody(std::string_view requestName, std::size_t size);

} // namespace chervilmount::standins
