#pragma once

#include "relay/frames/frames.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::relay {

/** Bytes of the length before each frame, most significant byte first. */
constexpr std::size_t LengthBytes = 4;
/** Longest accepted frame; a longer one ends the link. */
constexpr std::size_t MaximumFrameBytes = 80UL * 1024 * 1024;

/** Appends the frame with its length to @p output. */
void appendFrame(const Frame &frame, std::string &output);

/** @returns the length in the first LengthBytes bytes. */
std::size_t frameLength(std::string_view prefix);

/** @returns the frame in the bytes after the length, or nothing if they are malformed. */
std::optional<Frame> parseFrame(std::string_view bytes);

} // namespace chervilmount::relay
