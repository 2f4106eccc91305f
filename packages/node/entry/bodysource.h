#pragma once

#include "adapters/http/httpexchange.h"

#include <cstddef>
#include <optional>
#include <string>

namespace chervilmount::node {

/** The body of a caller's request; its beginning is kept so that further attempts can send it. */
class BodySource
{
public:
    /** @param replayBytes bodies up to this size can be sent again. */
    BodySource(adapters::HttpExchange &exchange, std::size_t replayBytes);

    /**
     * Reads the whole body and keeps it.
     * @param maximumBytes largest body that is kept.
     * @returns Data on success.
     */
    adapters::Task<adapters::HttpExchange::BodyRead> readWhole(std::size_t maximumBytes);

    /** @returns the part of the body that is kept. */
    const std::string &kept() const { return m_kept; }

    /** Starts again from the beginning. @returns false if the beginning was not kept. */
    bool rewind();

    /** Reads the next part, of at most maximumBytes. */
    adapters::Task<adapters::HttpExchange::BodyRead> read(std::string &data,
                                                          std::size_t maximumBytes);

    /** @returns true if the last part has been read. */
    bool atEnd() const;

private:
    adapters::HttpExchange &m_exchange;
    std::size_t m_replayBytes;
    std::string m_kept;
    std::size_t m_position = 0;
    bool m_overflowed = false;
};

} // namespace chervilmount::node
