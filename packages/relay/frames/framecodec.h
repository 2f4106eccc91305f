#pragma once

#include "relay/frames/frames.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::relay {

/** Size of the length prefix of each frame, which is big-endian. */
constexpr std::size_t LengthBytes = 4;
/** Largest accepted frame without its length prefix; a larger one ends the link. */
constexpr std::size_t MaximumFrameBytes = 80UL * 1024 * 1024;

/** Appends the length prefix and the frame to @p output. */
void appendFrame(const Frame &frame, std::string &output);

/** @returns the frame's length from the first LengthBytes bytes of @p prefix. */
std::size_t frameLength(std::string_view prefix);

/** @returns the frame in the bytes after the length prefix, or nothing if they are malformed. */
std::optional<Frame> parseFrame(std::string_view bytes);

} // namespace chervilmount::relay
