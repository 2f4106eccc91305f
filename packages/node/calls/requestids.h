#pragma once

#include "model/request/requestcontext.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace chervilmount::node {

/** Generates a random request id. */
model::RequestId newRequestId(std::mt19937_64 &random);

/** Generates an unpredictable token of 32 hex digits.
 * @throws std::runtime_error if OpenSSL fails. */
std::string newToken();

/** @returns 32 lower-case hex digits. */
std::string toHex(const model::RequestId &id);

/** Parses 32 lower-case hex digits; returns nothing for any other text. */
std::optional<model::RequestId> requestIdFromHex(std::string_view text);

} // namespace chervilmount::node
