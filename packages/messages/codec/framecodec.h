#pragma once

#include "messages/frames/frames.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::messages {

/** Largest encoded frame in bytes; larger messages are rejected. */
constexpr std::size_t MaximumFrameBytes = 128UL * 1024;

/** Largest part of a body in one frame, in bytes. */
constexpr std::size_t ChunkBytes = 32UL * 1024;

/**
 * Encodes a frame as one protobuf envelope.
 * @returns the bytes; may exceed MaximumFrameBytes if the frame holds oversized fields.
 */
std::string encodeFrame(const Frame &frame);

/**
 * Decodes and checks one protobuf envelope.
 * @returns nothing if the bytes are not an envelope, exceed MaximumFrameBytes or hold a value that
 *     is out of range.
 */
std::optional<Frame> decodeFrame(std::string_view bytes);

} // namespace chervilmount::messages
