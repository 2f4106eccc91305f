#pragma once

#include "model/request/requestcontext.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace chervilmount::node {

/** Draws a request id. */
model::RequestId newRequestId(std::mt19937_64 &random);

/** Draws an unpredictable token of 32 hex digits. */
std::string newToken();

/** @returns 32 lower-case hex digits. */
std::string toHex(const model::RequestId &id);

/** Parses 32 hex digits. */
std::optional<model::RequestId> requestIdFromHex(std::string_view text);

} // namespace chervilmount::node
