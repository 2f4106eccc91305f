#pragma once

#include <cstdint>

namespace chervilmount::node {

/** Flow control window for response bodies: unacknowledged bytes to the calling node. */
constexpr std::uint32_t AnswerWindowBytes = 256 * 1024;

/** Flow control window for request bodies: unacknowledged bytes to the called node. */
constexpr std::uint32_t BodyWindowBytes = 256 * 1024;

} // namespace chervilmount::node
