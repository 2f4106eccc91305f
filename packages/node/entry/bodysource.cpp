#include "node/entry/bodysource.h"

namespace chervilmount::node {

using BodyRead = adapters::HttpExchange::BodyRead;

BodySource::BodySource(adapters::HttpExchange &exchange, std::size_t replayBytes)
    : m_exchange(exchange)
    , m_replayBytes(replayBytes)
{
}

adapters::Task<BodyRead> BodySource::readWhole(std::size_t maximumBytes)
{
    constexpr std::size_t Step = 32UL * 1024;
    m_replayBytes = maximumBytes;
    std::string part;
    for (;;) {
        const BodyRead result = co_await read(part, Step);
        if (m_overflowed)
            co_return BodyRead::TooLarge;
        if (result == BodyRead::End)
            break;
        if (result != BodyRead::Data)
            co_return result;
    }
    m_position = 0;
    co_return BodyRead::Data;
}

bool BodySource::rewind()
{
    m_position = 0;
    return !m_overflowed;
}

bool BodySource::atEnd() const
{
    return m_exchange.bodyRead() && (m_overflowed || m_position == m_buffer.size());
}

adapters::Task<BodyRead> BodySource::read(std::string &data, std::size_t maximumBytes)
{
    if (!m_overflowed && m_position < m_buffer.size()) {
        data = m_buffer.substr(m_position, maximumBytes);
        m_position += data.size();
        co_return BodyRead::Data;
    }
    const BodyRead result = co_await m_exchange.readBody(data, maximumBytes);
    if (m_overflowed || result != BodyRead::Data)
        co_return result;
    if (m_buffer.size() + data.size() > m_replayBytes) {
        m_overflowed = true;
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    } else {
        m_buffer += data;
        m_position = m_buffer.size();
    }
    co_return result;
}

} // namespace chervilmount::node
