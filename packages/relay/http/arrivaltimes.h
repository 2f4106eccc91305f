#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace chervilmount::relay {

/** When the bytes of a stream arrived that have not been used yet. */
class ArrivalTimes
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Bytes that arrive within this time of each other count as one arrival; it bounds the memory
     * where they arrive one by one. */
    static constexpr std::chrono::milliseconds Resolution{10};

    void received(std::size_t bytes, TimePoint now);

    /** Forgets the oldest bytes. */
    void used(std::size_t bytes);

    /** @returns when the oldest byte that has not been used arrived, early by up to Resolution;
     * the last arrival if there is none. */
    TimePoint oldest() const { return m_arrivals.empty() ? m_last : m_arrivals.front().m_at; }

private:
    struct Arrival
    {
        TimePoint m_at;
        /** Number of the stream's bytes that had arrived then. */
        std::uint64_t m_end = 0;
    };

    std::deque<Arrival> m_arrivals;
    TimePoint m_last;
    std::uint64_t m_received = 0;
    std::uint64_t m_used = 0;
};

} // namespace chervilmount::relay
