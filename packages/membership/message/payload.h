#pragma once

#include "membership/link/linkclock.h"
#include "membership/member/memberrecord.h"
#include "membership/table/membertable.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::membership {

/** Sent to each peer once a second; also lets the receiver detect differing records and tables. */
struct Heartbeat
{
    /** Also names the sender's incarnation. */
    LinkClock m_clock;
    /** Version of the sender's own record. */
    std::uint32_t m_version = 0;
    /** Digest of the sender's whole table. */
    std::uint64_t m_tableDigest = 0;
    /** Failure domains that the sender cannot reach; empty unless it is a bridge. */
    std::vector<std::string> m_unreachableDomains;
    /** True on the reply to a heartbeat from a node that is not a peer; it is not replied to. */
    bool m_isReply = false;
};

/** Reachability of another failure domain, shared by the nodes of one domain. */
struct DomainView
{
    std::string m_failureDomain;
    bool m_reachable = true;
    /** Incremented with each change; at equal versions, reachable wins. */
    std::uint32_t m_version = 0;

    bool operator==(const DomainView &) const = default;
};

/** Changed records, and changed views of other failure domains (inside one domain only). */
struct MemberEvents
{
    std::vector<MemberRecord> m_records;
    std::vector<DomainView> m_domainViews;
};

/** Asks the receiver for its own record. */
struct RecordRequest
{
};

/** Tells another observer of the subject that the sender has not heard from it. */
struct SuspicionReport
{
    NodeKey m_subject = 0;
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_version = 0;
};

/** Summaries of the failure domains that a node knows. */
struct MemberDigest
{
    struct Domain
    {
        std::string m_failureDomain;
        DomainSummary m_summary;
    };

    std::vector<Domain> m_domains;
    /** Only between nodes of one failure domain. */
    std::vector<DomainView> m_domainViews;
    /** True if the receiver has to reply with its own digest. */
    bool m_wantsAnswer = false;
};

/** First step of reconciling a failure domain whose digests differ. */
struct MemberSyncBuckets
{
    std::string m_failureDomain;
    std::array<std::uint64_t, SyncBuckets> m_digests{};
};

/** All records of one bucket whose digests differ. */
struct MemberSyncRecords
{
    std::string m_failureDomain;
    std::uint32_t m_bucket = 0;
    std::vector<MemberRecord> m_records;
    /** True if the receiver has to reply with the records that are newer on its side. */
    bool m_wantsAnswer = false;
};

/** Requests a page of the table; sent by a starting node and to members of another partition. */
struct TableRequest
{
    std::uint32_t m_page = 0;
    /** 0 on the first request, when the number of pages is not known yet. */
    std::uint32_t m_pages = 0;
    MemberRecord m_requester;
};

/** One page of the table: the records with key % m_pages == m_page. */
struct TablePage
{
    std::uint32_t m_page = 0;
    std::uint32_t m_pages = 1;
    std::vector<MemberRecord> m_records;
};

/** Every message of the membership package. */
using Payload = std::variant<Heartbeat, MemberEvents, RecordRequest, SuspicionReport, MemberDigest,
                             MemberSyncBuckets, MemberSyncRecords, TableRequest, TablePage>;

} // namespace chervilmount::membership
