#pragma once

#include <string>
#include <string_view>

namespace chervilmount::node {

/** @returns HMAC-SHA-256 of the key under the deployment's digest key, 64 lower-case hex digits. */
std::string digestKey(std::string_view digestKey, std::string_view key);

/** @returns SHA-256 of the text, 64 lower-case hex digits. */
std::string sha256(std::string_view text);

} // namespace chervilmount::node
