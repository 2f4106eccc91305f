#include "membership/table/membertable.h"

#include <tuple>

namespace chervilmount::membership {

const MemberTable::Entry *MemberTable::entry(NodeKey key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

std::optional<std::uint16_t> MemberTable::findDomain(const std::string &name) const
{
    for (std::size_t i = 0; i < m_domains.size(); ++i) {
        if (m_domains[i].m_name == name)
            return static_cast<std::uint16_t>(i);
    }
    return std::nullopt;
}

std::uint16_t MemberTable::domainIndex(const std::string &name)
{
    if (const std::optional<std::uint16_t> found = findDomain(name))
        return *found;
    m_domains.push_back({name, {}, {}});
    return static_cast<std::uint16_t>(m_domains.size() - 1);
}

std::uint16_t MemberTable::serviceIndex(const std::string &name)
{
    const auto found = m_serviceIndex.find(name);
    if (found != m_serviceIndex.end())
        return found->second;
    const std::uint16_t index = static_cast<std::uint16_t>(m_services.size());
    m_services.push_back(name);
    m_serviceIndex.emplace(name, index);
    return index;
}

void MemberTable::toggleDigest(const Entry &entry, bool add)
{
    if (!isPresent(entry.m_state)) {
        m_endedRecords = add ? m_endedRecords + 1 : m_endedRecords - 1;
        return;
    }
    const std::uint64_t hash =
            recordDigest(entry.m_key, entry.m_incarnation, entry.m_version, entry.m_state);
    Domain &domain = m_domains[entry.m_domain];
    domain.m_summary.m_digest ^= hash;
    domain.m_buckets[bucketOf(entry.m_key)] ^= hash;
    m_digest ^= hash;
    if (add)
        ++domain.m_summary.m_presentMembers;
    else
        --domain.m_summary.m_presentMembers;
}

NodeKey MemberTable::put(const MemberRecord &record, TimePoint now)
{
    const NodeKey key = keyOf(record.m_id);
    const auto [found, inserted] =
            m_index.try_emplace(key, static_cast<std::uint32_t>(m_entries.size()));
    if (inserted)
        m_entries.emplace_back();
    else
        toggleDigest(m_entries[found->second], false);
    Entry &entry = m_entries[found->second];
    entry.m_key = key;
    entry.m_incarnation = record.m_incarnation;
    entry.m_version = record.m_version;
    entry.m_state = record.m_state;
    entry.m_slots = record.m_slots;
    entry.m_endedAt = now - record.m_endedFor;
    entry.m_domain = domainIndex(record.m_id.m_failureDomain);
    entry.m_service = serviceIndex(record.m_service);
    if (entry.m_address != record.m_id.m_address)
        entry.m_address = record.m_id.m_address;
    toggleDigest(entry, true);
    return key;
}

MemberRecord MemberTable::toRecord(const Entry &entry, TimePoint now) const
{
    MemberRecord record;
    record.m_id = {m_domains[entry.m_domain].m_name, entry.m_address};
    record.m_incarnation = entry.m_incarnation;
    record.m_version = entry.m_version;
    record.m_state = entry.m_state;
    record.m_service = m_services[entry.m_service];
    record.m_slots = entry.m_slots;
    if (!isPresent(entry.m_state))
        record.m_endedFor = std::chrono::duration_cast<std::chrono::seconds>(now - entry.m_endedAt);
    return record;
}

std::optional<MemberRecord> MemberTable::find(NodeKey key, TimePoint now) const
{
    const Entry *found = entry(key);
    if (!found)
        return std::nullopt;
    return toRecord(*found, now);
}

std::optional<NodeId> MemberTable::findId(NodeKey key) const
{
    const Entry *found = entry(key);
    if (!found)
        return std::nullopt;
    return NodeId{m_domains[found->m_domain].m_name, found->m_address};
}

std::optional<MemberState> MemberTable::findState(NodeKey key) const
{
    const Entry *found = entry(key);
    if (!found)
        return std::nullopt;
    return found->m_state;
}

bool MemberTable::isNewer(const MemberRecord &record) const
{
    const Entry *found = entry(keyOf(record.m_id));
    if (!found)
        return true;
    return std::tie(record.m_incarnation, record.m_version, record.m_state)
            > std::tie(found->m_incarnation, found->m_version, found->m_state);
}

std::optional<std::pair<std::uint64_t, std::uint32_t>> MemberTable::findVersion(NodeKey key) const
{
    const Entry *found = entry(key);
    if (!found)
        return std::nullopt;
    return std::pair{found->m_incarnation, found->m_version};
}

std::size_t MemberTable::expire(TimePoint now, std::chrono::seconds retention)
{
    if (m_endedRecords == 0)
        return 0;
    std::size_t removed = 0;
    for (std::size_t i = 0; i < m_entries.size();) {
        Entry &candidate = m_entries[i];
        if (isPresent(candidate.m_state) || now - candidate.m_endedAt < retention) {
            ++i;
            continue;
        }
        toggleDigest(candidate, false);
        m_index.erase(candidate.m_key);
        if (i + 1 != m_entries.size()) {
            candidate = std::move(m_entries.back());
            m_index[candidate.m_key] = static_cast<std::uint32_t>(i);
        }
        m_entries.pop_back();
        ++removed;
    }
    return removed;
}

void MemberTable::forEach(TimePoint now,
                          const std::function<void(const MemberRecord &)> &visit) const
{
    for (const Entry &entry : m_entries)
        visit(toRecord(entry, now));
}

void MemberTable::forEachKey(
        const std::function<void(NodeKey, MemberState, const std::string &)> &visit) const
{
    for (const Entry &entry : m_entries)
        visit(entry.m_key, entry.m_state, m_domains[entry.m_domain].m_name);
}

std::vector<MemberRecord> MemberTable::page(std::size_t page, std::size_t pages,
                                            TimePoint now) const
{
    std::vector<MemberRecord> records;
    for (const Entry &entry : m_entries) {
        if (entry.m_key % pages == page)
            records.push_back(toRecord(entry, now));
    }
    return records;
}

std::vector<MemberRecord> MemberTable::bucket(const std::string &failureDomain, std::size_t bucket,
                                              TimePoint now) const
{
    std::vector<MemberRecord> records;
    const std::optional<std::uint16_t> domain = findDomain(failureDomain);
    for (const Entry &entry : m_entries) {
        if (entry.m_domain == domain && bucketOf(entry.m_key) == bucket)
            records.push_back(toRecord(entry, now));
    }
    return records;
}

std::array<std::uint64_t, SyncBuckets>
MemberTable::bucketDigests(const std::string &failureDomain) const
{
    const std::optional<std::uint16_t> domain = findDomain(failureDomain);
    return domain ? m_domains[*domain].m_buckets : std::array<std::uint64_t, SyncBuckets>{};
}

std::map<std::string, DomainSummary> MemberTable::domains() const
{
    std::map<std::string, DomainSummary> result;
    for (const Domain &domain : m_domains) {
        if (domain.m_summary.m_presentMembers > 0)
            result.emplace(domain.m_name, domain.m_summary);
    }
    return result;
}

DomainSummary MemberTable::domain(const std::string &failureDomain) const
{
    const std::optional<std::uint16_t> domain = findDomain(failureDomain);
    return domain ? m_domains[*domain].m_summary : DomainSummary{};
}

std::vector<NodeKey> MemberTable::failedMembers(const std::string &failureDomain) const
{
    std::vector<NodeKey> result;
    if (m_endedRecords == 0)
        return result;
    const std::optional<std::uint16_t> domain = findDomain(failureDomain);
    for (const Entry &entry : m_entries) {
        if (entry.m_state == MemberState::Failed && entry.m_domain == domain)
            result.push_back(entry.m_key);
    }
    return result;
}

} // namespace chervilmount::membership
