#pragma once

#include "adapters/http/httpexchange.h"

#include <cstddef>
#include <optional>
#include <string>

namespace chervilmount::node {

/** The body of a caller's request, buffered up to a limit so that retries can send it again. */
class BodySource
{
public:
    /** @param replayBytes largest body that is buffered for retries. */
    BodySource(adapters::HttpExchange &exchange, std::size_t replayBytes);

    /**
     * Reads and buffers the whole body.
     * @param maximumBytes largest body that is buffered.
     * @returns Data on success.
     */
    adapters::Task<adapters::HttpExchange::BodyRead> readWhole(std::size_t maximumBytes);

    /** @returns the buffered part of the body. */
    const std::string &buffered() const { return m_buffer; }

    /** Restarts from the beginning. @returns false if the body exceeded the buffer. */
    bool rewind();

    /** Reads the next part, of at most maximumBytes. */
    adapters::Task<adapters::HttpExchange::BodyRead> read(std::string &data,
                                                          std::size_t maximumBytes);

    /** @returns true if the last part has been read. */
    bool atEnd() const;

private:
    adapters::HttpExchange &m_exchange;
    std::size_t m_replayBytes;
    std::string m_buffer;
    std::size_t m_position = 0;
    bool m_overflowed = false;
};

} // namespace chervilmount::node
