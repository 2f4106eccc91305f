#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace chervilmount::node {

/** Counts repeated requests with the same request key. */
class RepeatCounter
{
public:
    /**
     * Counts a request.
     * @param organisation organisation of the request; each one has separate keys.
     * @returns the number of earlier requests with this key within overload::RepeatPeriod.
     */
    int count(std::string_view organisation, std::string_view key,
              std::chrono::steady_clock::time_point now);

private:
    struct Entry
    {
        int m_count = 0;
    };
    struct Expiry
    {
        std::uint64_t m_hash = 0;
        std::chrono::steady_clock::time_point m_at;
    };

    void removeExpired(std::chrono::steady_clock::time_point now);

    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::deque<Expiry> m_expiries;
};

} // namespace chervilmount::node
