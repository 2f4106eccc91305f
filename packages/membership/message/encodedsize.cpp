#include "membership/message/encodedsize.h"

#include <string>

namespace chervilmount::membership {

namespace {

constexpr std::size_t Fixed64Field = 1 + 8;

std::size_t varint(std::uint64_t value)
{
    std::size_t size = 1;
    for (; value >= 128; value >>= 7)
        ++size;
    return size;
}

std::size_t varintField(std::uint64_t value)
{
    return value == 0 ? 0 : 1 + varint(value);
}

std::size_t nested(std::size_t size)
{
    return 1 + varint(size) + size;
}

std::size_t stringField(const std::string &text)
{
    return text.empty() ? 0 : nested(text.size());
}

std::size_t sizeOf(const LinkClock &clock)
{
    const std::uint64_t hold = static_cast<std::uint64_t>(clock.m_hold.count());
    const std::size_t echo = clock.m_echo ? 2 * Fixed64Field + varintField(hold) : 0;
    return nested(2 * Fixed64Field + echo);
}

std::size_t sizeOf(const std::vector<MemberRecord> &records)
{
    std::size_t size = 0;
    for (const MemberRecord &record : records)
        size += nested(encodedSize(record));
    return size;
}

std::size_t sizeOf(const std::vector<DomainView> &views)
{
    std::size_t size = 0;
    for (const DomainView &view : views)
        size += nested(stringField(view.m_failureDomain) + varintField(view.m_version) + 2);
    return size;
}

struct SizeVisitor
{
    std::size_t operator()(const Heartbeat &heartbeat) const
    {
        std::size_t size = sizeOf(heartbeat.m_clock) + varintField(heartbeat.m_version)
                + Fixed64Field + (heartbeat.m_isReply ? 2 : 0);
        for (const std::string &name : heartbeat.m_unreachableDomains)
            size += stringField(name);
        return size;
    }

    std::size_t operator()(const MemberEvents &events) const
    {
        return sizeOf(events.m_records) + sizeOf(events.m_domainViews);
    }

    std::size_t operator()(const RecordRequest &) const { return 0; }

    std::size_t operator()(const SuspicionReport &report) const
    {
        return 2 * Fixed64Field + varintField(report.m_version);
    }

    std::size_t operator()(const MemberDigest &digest) const
    {
        std::size_t size = sizeOf(digest.m_domainViews) + (digest.m_wantsAnswer ? 2 : 0);
        for (const MemberDigest::Domain &domain : digest.m_domains) {
            size += nested(stringField(domain.m_failureDomain) + Fixed64Field
                           + varintField(domain.m_summary.m_presentMembers));
        }
        return size;
    }

    std::size_t operator()(const MemberSyncBuckets &buckets) const
    {
        return stringField(buckets.m_failureDomain) + nested(SyncBuckets * 8);
    }

    std::size_t operator()(const MemberSyncRecords &records) const
    {
        return stringField(records.m_failureDomain) + varintField(records.m_bucket)
                + sizeOf(records.m_records) + (records.m_wantsAnswer ? 2 : 0);
    }

    std::size_t operator()(const TableRequest &request) const
    {
        return varintField(request.m_page) + varintField(request.m_pages)
                + nested(encodedSize(request.m_requester));
    }

    std::size_t operator()(const TablePage &page) const
    {
        return varintField(page.m_page) + varintField(page.m_pages) + sizeOf(page.m_records);
    }
};

} // namespace

std::size_t encodedSize(const MemberRecord &record)
{
    const std::size_t id =
            stringField(record.m_id.m_failureDomain) + stringField(record.m_id.m_address);
    return nested(id) + Fixed64Field + varintField(record.m_version)
            + varintField(static_cast<std::uint64_t>(record.m_state))
            + stringField(record.m_service) + varintField(record.m_slots)
            + varintField(static_cast<std::uint64_t>(record.m_endedFor.count()));
}

std::size_t encodedSize(const Payload &payload)
{
    return nested(std::visit(SizeVisitor{}, payload));
}

} // namespace chervilmount::membership
