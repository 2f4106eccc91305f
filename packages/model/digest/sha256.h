#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace chervilmount::model {

/** Result of SHA-256 or HMAC-SHA-256. */
using Digest = std::array<std::uint8_t, 32>;

/** @returns SHA-256 of the bytes. @throws std::runtime_error if OpenSSL fails. */
Digest sha256(std::string_view bytes);

/** @returns SHA-256 of the concatenated digests. @throws std::runtime_error if OpenSSL fails. */
Digest sha256(std::span<const Digest> digests);

/** @returns 64 lower-case hex digits. */
std::string toHex(const Digest &digest);

/** @returns the digest, or nothing unless the text is 64 hex digits in lower case. */
std::optional<Digest> digestFromHex(std::string_view text);

} // namespace chervilmount::model
