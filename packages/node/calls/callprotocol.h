#pragma once

#include <cstdint>

namespace chervilmount::node {

/** Bytes of a response body that may be under way to the calling node. */
constexpr std::uint32_t AnswerWindowBytes = 256 * 1024;

/** Bytes of a request body that may be under way to the node beside the backend server. */
constexpr std::uint32_t BodyWindowBytes = 256 * 1024;

} // namespace chervilmount::node
