#include "node/entry/repeatcounter.h"

#include "overload/rank/rank.h"

#include <xxhash.h>

namespace chervilmount::node {

namespace {

// Limits the memory to about 10 MB; further requests within the period of 10 s are not counted.
constexpr std::size_t MaximumKeys = 100000;

} // namespace

int RepeatCounter::count(std::string_view organisation, std::string_view key,
                         std::chrono::steady_clock::time_point now)
{
    removeExpired(now);
    const std::uint64_t seed = XXH3_64bits(organisation.data(), organisation.size());
    const std::uint64_t hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
    if (m_expiries.size() >= MaximumKeys)
        return 0;
    Entry &entry = m_entries[hash];
    m_expiries.push_back({hash, now});
    return entry.m_count++;
}

void RepeatCounter::removeExpired(std::chrono::steady_clock::time_point now)
{
    while (!m_expiries.empty() && now - m_expiries.front().m_at > overload::RepeatPeriod) {
        const auto found = m_entries.find(m_expiries.front().m_hash);
        if (found != m_entries.end() && --found->second.m_count <= 0)
            m_entries.erase(found);
        m_expiries.pop_front();
    }
}

} // namespace chervilmount::node
