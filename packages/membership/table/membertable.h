#pragma once

#include "membership/member/memberrecord.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::membership {

/** Number of buckets into which a failure domain's members are divided for reconciliation. */
constexpr std::size_t SyncBuckets = 64;

/** Returns the reconciliation bucket of a member. */
constexpr std::size_t bucketOf(NodeKey key)
{
    return key % SyncBuckets;
}

/** Digest and size of one failure domain, over its present members. */
struct DomainSummary
{
    std::uint64_t m_digest = 0;
    std::uint32_t m_presentMembers = 0;

    bool operator==(const DomainSummary &) const = default;
};

/**
 * All member records, stored compactly: names of failure domains and services are interned.
 * Digests cover present members only, since left and failed records expire at different times on
 * different nodes.
 */
class MemberTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Stores a record, replacing any record of the same node. @returns the node's key. */
    NodeKey put(const MemberRecord &record, TimePoint now);

    /** Returns the record of a node, if known; m_endedFor is computed for the given time. */
    std::optional<MemberRecord> find(NodeKey key, TimePoint now) const;

    /** Returns the node id, if known. */
    std::optional<NodeId> findId(NodeKey key) const;

    /** Returns the state, if known. */
    std::optional<MemberState> findState(NodeKey key) const;

    /** Returns true if a record with these values would replace the known one, if any. */
    bool isNewer(const MemberRecord &record) const;

    /** Returns incarnation and version of a known member. */
    std::optional<std::pair<std::uint64_t, std::uint32_t>> findVersion(NodeKey key) const;

    /** Removes left and failed records older than the retention. @returns how many. */
    std::size_t expire(TimePoint now, std::chrono::seconds retention);

    /** Calls the function for each record. */
    void forEach(TimePoint now, const std::function<void(const MemberRecord &)> &visit) const;

    /** Calls the function with key, state and failure domain of each record; no record is built. */
    void
    forEachKey(const std::function<void(NodeKey, MemberState, const std::string &)> &visit) const;

    /** Returns the records of one page: those with key % pages == page. */
    std::vector<MemberRecord> page(std::size_t page, std::size_t pages, TimePoint now) const;

    /** Returns the records of a failure domain in one bucket. */
    std::vector<MemberRecord> bucket(const std::string &failureDomain, std::size_t bucket,
                                     TimePoint now) const;

    /** Returns digests of all buckets of a failure domain. */
    std::array<std::uint64_t, SyncBuckets> bucketDigests(const std::string &failureDomain) const;

    /** Returns the names of failure domains with at least one present member, with summaries. */
    std::map<std::string, DomainSummary> domains() const;

    /** Returns the summary of one failure domain. */
    DomainSummary domain(const std::string &failureDomain) const;

    /** Returns the XOR of all domains' digests. */
    std::uint64_t digest() const { return m_digest; }

    /** Returns the number of records, present or not. */
    std::size_t size() const { return m_index.size(); }

    /** Returns the keys of failed members of a failure domain. */
    std::vector<NodeKey> failedMembers(const std::string &failureDomain) const;

private:
    struct Entry
    {
        NodeKey m_key = 0;
        std::uint64_t m_incarnation = 0;
        TimePoint m_endedAt;
        std::string m_address;
        std::uint32_t m_version = 0;
        std::uint32_t m_slots = 0;
        std::uint16_t m_domain = 0;
        std::uint16_t m_service = 0;
        MemberState m_state = MemberState::Joining;
    };

    struct Domain
    {
        std::string m_name;
        DomainSummary m_summary;
        std::array<std::uint64_t, SyncBuckets> m_buckets{};
    };

    const Entry *entry(NodeKey key) const;
    MemberRecord toRecord(const Entry &entry, TimePoint now) const;
    std::uint16_t domainIndex(const std::string &name);
    std::uint16_t serviceIndex(const std::string &name);
    std::optional<std::uint16_t> findDomain(const std::string &name) const;
    void toggleDigest(const Entry &entry, bool add);

    std::vector<Entry> m_entries;
    std::unordered_map<NodeKey, std::uint32_t> m_index;
    std::vector<Domain> m_domains;
    std::vector<std::string> m_services;
    std::unordered_map<std::string, std::uint16_t> m_serviceIndex;
    std::uint64_t m_digest = 0;
    std::size_t m_endedRecords = 0;
};

} // namespace chervilmount::membership
