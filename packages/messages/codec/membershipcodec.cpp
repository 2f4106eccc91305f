#include "messages/codec/membershipcodec.h"

#include <envelope.pb.h>

#include <algorithm>
#include <utility>

namespace chervilmount::messages {

namespace {

using namespace membership;

// Limits the work for one message; a page within 128 KiB holds fewer records than this.
constexpr int MaximumItems = 4096;

void write(const NodeId &id, wire::NodeId &out)
{
    out.set_failure_domain(id.m_failureDomain);
    out.set_address(id.m_address);
}

NodeId read(const wire::NodeId &in)
{
    return {in.failure_domain(), in.address()};
}

void write(const MemberRecord &record, wire::MemberRecord &out)
{
    write(record.m_id, *out.mutable_id());
    out.set_incarnation(record.m_incarnation);
    out.set_version(record.m_version);
    out.set_state(static_cast<std::uint32_t>(record.m_state));
    out.set_service(record.m_service);
    out.set_slots(record.m_slots);
    out.set_ended_for_seconds(static_cast<std::uint32_t>(record.m_endedFor.count()));
}

bool read(const wire::MemberRecord &in, MemberRecord &record)
{
    if (in.state() > static_cast<std::uint32_t>(MemberState::Failed) || in.id().address().empty())
        return false;
    record.m_id = read(in.id());
    record.m_incarnation = in.incarnation();
    record.m_version = in.version();
    record.m_state = static_cast<MemberState>(in.state());
    record.m_service = in.service();
    record.m_slots = in.slots();
    record.m_endedFor = std::chrono::seconds(in.ended_for_seconds());
    return true;
}

template<typename Message>
bool readRecords(const Message &in, std::vector<MemberRecord> &records)
{
    if (in.records_size() > MaximumItems)
        return false;
    for (const wire::MemberRecord &item : in.records()) {
        MemberRecord record;
        if (!read(item, record))
            return false;
        records.push_back(std::move(record));
    }
    return true;
}

template<typename Message>
void writeRecords(const std::vector<MemberRecord> &records, Message &out)
{
    for (const MemberRecord &record : records)
        write(record, *out.add_records());
}

template<typename Message>
void writeViews(const std::vector<DomainView> &views, Message &out)
{
    for (const DomainView &view : views) {
        wire::DomainView &item = *out.add_domain_views();
        item.set_failure_domain(view.m_failureDomain);
        item.set_reachable(view.m_reachable);
        item.set_version(view.m_version);
    }
}

template<typename Message>
std::vector<DomainView> readViews(const Message &in)
{
    std::vector<DomainView> views;
    for (const wire::DomainView &view : in.domain_views())
        views.push_back({view.failure_domain(), view.reachable(), view.version()});
    return views;
}

void write(const LinkClock &clock, wire::LinkClock &out)
{
    out.set_incarnation(clock.m_incarnation);
    out.set_sent_at_microseconds(static_cast<std::uint64_t>(clock.m_sentAt.count()));
    if (clock.m_echo)
        out.set_echo_microseconds(static_cast<std::uint64_t>(clock.m_echo->count()));
    out.set_echo_incarnation(clock.m_echoIncarnation);
    out.set_hold_microseconds(static_cast<std::uint64_t>(clock.m_hold.count()));
}

LinkClock read(const wire::LinkClock &in)
{
    const auto toDuration = [](std::uint64_t value) {
        // Clamps values from peers so that sums of them do not overflow.
        constexpr std::uint64_t Largest = 1ULL << 60U;
        return std::chrono::microseconds(std::min(value, Largest));
    };
    LinkClock clock;
    clock.m_incarnation = in.incarnation();
    clock.m_sentAt = toDuration(in.sent_at_microseconds());
    if (in.has_echo_microseconds())
        clock.m_echo = toDuration(in.echo_microseconds());
    clock.m_echoIncarnation = in.echo_incarnation();
    clock.m_hold = toDuration(in.hold_microseconds());
    return clock;
}

void write(const Heartbeat &payload, wire::MembershipMessage &message)
{
    wire::Heartbeat &out = *message.mutable_heartbeat();
    write(payload.m_clock, *out.mutable_clock());
    out.set_version(payload.m_version);
    out.set_table_digest(payload.m_tableDigest);
    for (const std::string &domain : payload.m_unreachableDomains)
        out.add_unreachable_domains(domain);
    out.set_is_reply(payload.m_isReply);
}

void write(const MemberEvents &payload, wire::MembershipMessage &message)
{
    wire::MemberEvents &out = *message.mutable_member_events();
    writeRecords(payload.m_records, out);
    writeViews(payload.m_domainViews, out);
}

void write(const RecordRequest &, wire::MembershipMessage &message)
{
    message.mutable_record_request();
}

void write(const SuspicionReport &payload, wire::MembershipMessage &message)
{
    wire::SuspicionReport &out = *message.mutable_suspicion_report();
    out.set_subject(payload.m_subject);
    out.set_incarnation(payload.m_incarnation);
    out.set_version(payload.m_version);
}

void write(const MemberDigest &payload, wire::MembershipMessage &message)
{
    wire::MemberDigest &out = *message.mutable_member_digest();
    for (const MemberDigest::Domain &domain : payload.m_domains) {
        wire::DomainDigest &item = *out.add_domains();
        item.set_failure_domain(domain.m_failureDomain);
        item.set_digest(domain.m_summary.m_digest);
        item.set_present_members(domain.m_summary.m_presentMembers);
    }
    writeViews(payload.m_domainViews, out);
    out.set_wants_answer(payload.m_wantsAnswer);
}

void write(const MemberSyncBuckets &payload, wire::MembershipMessage &message)
{
    wire::MemberSyncBuckets &out = *message.mutable_member_sync_buckets();
    out.set_failure_domain(payload.m_failureDomain);
    for (const std::uint64_t digest : payload.m_digests)
        out.add_digests(digest);
}

void write(const MemberSyncRecords &payload, wire::MembershipMessage &message)
{
    wire::MemberSyncRecords &out = *message.mutable_member_sync_records();
    out.set_failure_domain(payload.m_failureDomain);
    out.set_bucket(payload.m_bucket);
    writeRecords(payload.m_records, out);
    out.set_wants_answer(payload.m_wantsAnswer);
}

void write(const TableRequest &payload, wire::MembershipMessage &message)
{
    wire::TableRequest &out = *message.mutable_table_request();
    out.set_page(payload.m_page);
    out.set_pages(payload.m_pages);
    write(payload.m_requester, *out.mutable_requester());
}

void write(const TablePage &payload, wire::MembershipMessage &message)
{
    wire::TablePage &out = *message.mutable_table_page();
    out.set_page(payload.m_page);
    out.set_pages(payload.m_pages);
    writeRecords(payload.m_records, out);
}

Heartbeat readHeartbeat(const wire::Heartbeat &in)
{
    Heartbeat payload;
    payload.m_clock = read(in.clock());
    payload.m_version = in.version();
    payload.m_tableDigest = in.table_digest();
    payload.m_unreachableDomains.assign(in.unreachable_domains().begin(),
                                        in.unreachable_domains().end());
    payload.m_isReply = in.is_reply();
    return payload;
}

std::optional<Payload> readEvents(const wire::MemberEvents &in)
{
    MemberEvents payload;
    if (!readRecords(in, payload.m_records))
        return std::nullopt;
    payload.m_domainViews = readViews(in);
    return payload;
}

MemberDigest readDigest(const wire::MemberDigest &in)
{
    MemberDigest payload;
    for (const wire::DomainDigest &domain : in.domains()) {
        payload.m_domains.push_back(
                {domain.failure_domain(), {domain.digest(), domain.present_members()}});
    }
    payload.m_domainViews = readViews(in);
    payload.m_wantsAnswer = in.wants_answer();
    return payload;
}

std::optional<Payload> readBuckets(const wire::MemberSyncBuckets &in)
{
    MemberSyncBuckets payload;
    if (in.digests_size() != static_cast<int>(payload.m_digests.size()))
        return std::nullopt;
    payload.m_failureDomain = in.failure_domain();
    std::copy(in.digests().begin(), in.digests().end(), payload.m_digests.begin());
    return payload;
}

std::optional<Payload> readSyncRecords(const wire::MemberSyncRecords &in)
{
    MemberSyncRecords payload;
    if (in.bucket() >= SyncBuckets || !readRecords(in, payload.m_records))
        return std::nullopt;
    payload.m_failureDomain = in.failure_domain();
    payload.m_bucket = in.bucket();
    payload.m_wantsAnswer = in.wants_answer();
    return payload;
}

std::optional<Payload> readTableRequest(const wire::TableRequest &in)
{
    TableRequest payload;
    if (!read(in.requester(), payload.m_requester) || (in.pages() != 0 && in.page() >= in.pages()))
        return std::nullopt;
    payload.m_page = in.page();
    payload.m_pages = in.pages();
    return payload;
}

std::optional<Payload> readTablePage(const wire::TablePage &in)
{
    TablePage payload;
    if (in.page() >= in.pages() || !readRecords(in, payload.m_records))
        return std::nullopt;
    payload.m_page = in.page();
    payload.m_pages = in.pages();
    return payload;
}

std::optional<Payload> readPayload(const wire::MembershipMessage &in)
{
    switch (in.payload_case()) {
    case wire::MembershipMessage::kHeartbeat:
        return readHeartbeat(in.heartbeat());
    case wire::MembershipMessage::kMemberEvents:
        return readEvents(in.member_events());
    case wire::MembershipMessage::kRecordRequest:
        return RecordRequest{};
    case wire::MembershipMessage::kSuspicionReport:
        return SuspicionReport{in.suspicion_report().subject(), in.suspicion_report().incarnation(),
                               in.suspicion_report().version()};
    case wire::MembershipMessage::kMemberDigest:
        return readDigest(in.member_digest());
    case wire::MembershipMessage::kMemberSyncBuckets:
        return readBuckets(in.member_sync_buckets());
    case wire::MembershipMessage::kMemberSyncRecords:
        return readSyncRecords(in.member_sync_records());
    case wire::MembershipMessage::kTableRequest:
        return readTableRequest(in.table_request());
    case wire::MembershipMessage::kTablePage:
        return readTablePage(in.table_page());
    case wire::MembershipMessage::PAYLOAD_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

void writeMembership(const MembershipMessage &message, wire::MembershipMessage &out)
{
    write(message.m_from, *out.mutable_sender());
    std::visit([&out](const auto &payload) { write(payload, out); }, message.m_payload);
}

std::optional<MembershipMessage> readMembership(const wire::MembershipMessage &in)
{
    std::optional<Payload> payload = readPayload(in);
    if (!payload || in.sender().address().empty())
        return std::nullopt;
    return MembershipMessage{read(in.sender()), std::move(*payload)};
}

} // namespace chervilmount::messages
