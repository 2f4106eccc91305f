#pragma once

#include <cstddef>

namespace chervilmount::relay {

/** Longest line between the chunks of a body. */
constexpr std::size_t MaximumChunkLine = 4096;

/**
 * Beast's parser bounds the head and the body of a message, but not the lines between chunks.
 * @param unparsed bytes that the parser has left, waiting for more.
 * @returns whether the line before the next chunk is too long.
 */
template<typename Parser>
bool hasTooLongChunkLine(const Parser &parser, std::size_t unparsed)
{
    return parser.is_header_done() && !parser.is_done() && unparsed > MaximumChunkLine;
}

} // namespace chervilmount::relay
