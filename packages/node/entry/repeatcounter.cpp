#include "node/entry/repeatcounter.h"

#include "overload/rank/rank.h"

#include <xxhash.h>

namespace chervilmount::node {

namespace {

// Bounds the memory at about 10 MB; at more keys in 10 s further ones are not counted.
constexpr std::size_t MaximumKeys = 100000;

} // namespace

int RepeatCounter::count(std::string_view organisation, std::string_view key,
                         std::chrono::steady_clock::time_point now)
{
    removeOld(now);
    const std::uint64_t seed = XXH3_64bits(organisation.data(), organisation.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
    if (m_expiries.size() >= MaximumKeys)
        return 0;
    Entry &entry = m_entries[hash];
    m_expiries.push_back({hash, now});
    return entry.m_count++;
}

void RepeatCounter::removeOld(std::chrono::steady_clock::time_point now)
{
    while (!m_expiries.empty() && now - m_expiries.front().m_at > overload::RepeatPeriod) {
        const auto place = m_entries.find(m_expiries.front().m_hash);
        if (place != m_entries.end() && --place->second.m_count <= 0)
            m_entries.erase(place);
        m_expiries.pop_front();
    }
}

} // namespace chervilmount::node
