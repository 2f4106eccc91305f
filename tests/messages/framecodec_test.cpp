#include "messages/messages.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chervilmount::messages;

namespace {

CallKey makeKey()
{
    CallKey key;
    for (std::size_t index = 0; index < key.m_requestId.size(); ++index)
        key.m_requestId[index] = static_cast<std::uint8_t>(index * 17);
    key.m_call = 0xfedcba9876543210ULL;
    key.m_attempt = 3;
    return key;
}

CallStart makeStart()
{
    CallStart start;
    start.m_key = makeKey();
    start.m_service = "slipdesk";
    start.m_route = "slips";
    start.m_method = "POST";
    start.m_target = "/slips/7?x=\xff";
    start.m_fields = {{"Accept", "text/plain"}, {"X-Binary", std::string("\0\x80", 2)}};
    start.m_hasBody = true;
    start.m_bodyBytes = 12;
    start.m_organisation = "addis-1";
    start.m_priority = 7;
    start.m_remaining = std::chrono::microseconds(1500000);
    start.m_extraAttempts = 2;
    start.m_pathDepth = 15;
    start.m_rank = 0xffff;
    start.m_onceOnly = true;
    return start;
}

template<typename Content>
Content roundTrip(const Content &content)
{
    const std::optional<Frame> frame = decodeFrame(encodeFrame(content));
    REQUIRE(frame.has_value());
    REQUIRE(std::holds_alternative<Content>(*frame));
    return std::get<Content>(*frame);
}

} // namespace

// Guards against request context fields that are lost in encoding or decoding.
TEST_CASE("A call start keeps all fields over the wire")
{
    const CallStart sent = makeStart();
    const CallStart received = roundTrip(sent);
    CHECK(received.m_key == sent.m_key);
    CHECK(received.m_service == sent.m_service);
    CHECK(received.m_route == sent.m_route);
    CHECK(received.m_method == sent.m_method);
    CHECK(received.m_target == sent.m_target);
    CHECK(received.m_fields == sent.m_fields);
    CHECK(received.m_hasBody == sent.m_hasBody);
    CHECK(received.m_bodyBytes == sent.m_bodyBytes);
    CHECK(received.m_organisation == sent.m_organisation);
    CHECK(received.m_priority == sent.m_priority);
    CHECK(received.m_remaining == sent.m_remaining);
    CHECK(received.m_extraAttempts == sent.m_extraAttempts);
    CHECK(received.m_pathDepth == sent.m_pathDepth);
    CHECK(received.m_rank == sent.m_rank);
    CHECK(received.m_onceOnly == sent.m_onceOnly);
}

// Guards against a response frame that loses its status, checksum or outcome.
TEST_CASE("Response frames keep their fields over the wire")
{
    const LoadReport load{5, 50, true, 0x1234};
    const AnswerHead head = roundTrip(AnswerHead{makeKey(), 201, {{"A", "b"}}, 77, load});
    CHECK(head.m_status == 201);
    CHECK(head.m_fields == std::vector<HeaderField>{{"A", "b"}});
    CHECK(head.m_bodyBytes == 77U);
    CHECK(head.m_load.m_threshold == 0x1234);
    CHECK(head.m_load.m_leaving);
    CHECK(roundTrip(AnswerChunk{makeKey(), std::string("\0x", 2)}).m_data == std::string("\0x", 2));
    const AnswerEnd end = roundTrip(AnswerEnd{makeKey(), 9, 0xffffffffffffffffULL, 2, load, false});
    CHECK(end.m_totalBytes == 9);
    CHECK(end.m_checksum == 0xffffffffffffffffULL);
    CHECK(end.m_unusedExtraAttempts == 2);
    CHECK_FALSE(end.m_complete);
    const Refusal refusal = roundTrip(
            Refusal{makeKey(), true, false, "limit", std::chrono::milliseconds(250), 503, 1, load});
    CHECK(refusal.m_notRun);
    CHECK_FALSE(refusal.m_retryable);
    CHECK(refusal.m_reason == "limit");
    CHECK(refusal.m_retryAfter == std::chrono::milliseconds(250));
    CHECK(refusal.m_unusedExtraAttempts == 1);
    CHECK(roundTrip(CallBody{makeKey(), "abc", true}).m_last);
    CHECK(roundTrip(AnswerWindow{makeKey(), 4096}).m_bytes == 4096);
    CHECK(roundTrip(BodyWindow{makeKey(), 4097}).m_bytes == 4097);
    CHECK(roundTrip(CallCancel{makeKey()}).m_key == makeKey());
}

// Guards against out-of-range values from a peer that reach array indices or arithmetic.
TEST_CASE("Frames with values out of range are rejected")
{
    CallStart start = makeStart();
    start.m_priority = 8;
    CHECK_FALSE(decodeFrame(encodeFrame(start)));
    start = makeStart();
    start.m_pathDepth = 16;
    CHECK_FALSE(decodeFrame(encodeFrame(start)));
    start = makeStart();
    start.m_extraAttempts = 6;
    CHECK_FALSE(decodeFrame(encodeFrame(start)));
    start = makeStart();
    start.m_remaining = std::chrono::hours(25);
    CHECK_FALSE(decodeFrame(encodeFrame(start)));
    CHECK_FALSE(decodeFrame(encodeFrame(AnswerHead{makeKey(), 99, {}, {}, {}})));
    CHECK_FALSE(decodeFrame(encodeFrame(AnswerChunk{makeKey(), std::string(ChunkBytes + 1, 'x')})));
    CHECK_FALSE(
            decodeFrame(encodeFrame(CallBody{makeKey(), std::string(ChunkBytes + 1, 'x'), false})));
}

// Guards against exceptions and crashes when malformed bytes are decoded.
TEST_CASE("Truncated and random bytes are rejected or decode to a frame without failing")
{
    const std::string whole = encodeFrame(makeStart());
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK_NOTHROW(decodeFrame(std::string_view(whole).substr(0, length)));
    CHECK_FALSE(decodeFrame(""));
    CHECK_FALSE(decodeFrame(std::string(MaximumFrameBytes + 1, '\0')));
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = whole;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        CHECK_NOTHROW(decodeFrame(bytes));
    }
}

// Guards against membership fields that are lost in encoding or decoding.
TEST_CASE("Membership messages keep their payload over the wire")
{
    namespace ms = chervilmount::membership;
    ms::MemberRecord record;
    record.m_id = {"a1", "127.0.0.1:1"};
    record.m_incarnation = 0xffffffffffffULL;
    record.m_version = 7;
    record.m_state = ms::MemberState::Failed;
    record.m_service = "slipdesk";
    record.m_slots = 50;
    record.m_endedFor = std::chrono::seconds(9);
    const MembershipMessage events = roundTrip(MembershipMessage{
            {"a1", "127.0.0.1:2"}, ms::MemberEvents{{record}, {{"b", false, 3}}}});
    CHECK(events.m_from == ms::NodeId{"a1", "127.0.0.1:2"});
    const ms::MemberEvents &received = std::get<ms::MemberEvents>(events.m_payload);
    CHECK(received.m_records == std::vector<ms::MemberRecord>{record});
    CHECK(received.m_domainViews == std::vector<ms::DomainView>{{"b", false, 3}});
    ms::Heartbeat heartbeat;
    heartbeat.m_clock.m_incarnation = 5;
    heartbeat.m_clock.m_sentAt = std::chrono::microseconds(6);
    heartbeat.m_clock.m_echo = std::chrono::microseconds(0);
    heartbeat.m_clock.m_echoIncarnation = 8;
    heartbeat.m_clock.m_hold = std::chrono::microseconds(9);
    heartbeat.m_version = 10;
    heartbeat.m_tableDigest = 11;
    heartbeat.m_unreachableDomains = {"c"};
    heartbeat.m_isReply = true;
    const MembershipMessage heartbeatMessage = roundTrip(MembershipMessage{{"", "x"}, heartbeat});
    const ms::Heartbeat &receivedHeartbeat = std::get<ms::Heartbeat>(heartbeatMessage.m_payload);
    CHECK(receivedHeartbeat.m_clock.m_incarnation == 5);
    CHECK(receivedHeartbeat.m_clock.m_sentAt == std::chrono::microseconds(6));
    CHECK(receivedHeartbeat.m_clock.m_echo == std::chrono::microseconds(0));
    CHECK(receivedHeartbeat.m_clock.m_echoIncarnation == 8);
    CHECK(receivedHeartbeat.m_clock.m_hold == std::chrono::microseconds(9));
    CHECK(receivedHeartbeat.m_version == 10);
    CHECK(receivedHeartbeat.m_tableDigest == 11);
    CHECK(receivedHeartbeat.m_unreachableDomains == std::vector<std::string>{"c"});
    CHECK(receivedHeartbeat.m_isReply);
    ms::MemberSyncBuckets buckets;
    buckets.m_failureDomain = "a1";
    buckets.m_digests[63] = 99;
    const MembershipMessage sync = roundTrip(MembershipMessage{{"a1", "x"}, buckets});
    CHECK(std::get<ms::MemberSyncBuckets>(sync.m_payload).m_digests == buckets.m_digests);
    const MembershipMessage page =
            roundTrip(MembershipMessage{{"a1", "x"}, ms::TablePage{1, 2, {record}}});
    CHECK(std::get<ms::TablePage>(page.m_payload).m_records.size() == 1);
    // With a page index beyond the page count the receiver would request pages forever.
    CHECK_FALSE(decodeFrame(
            encodeFrame(MembershipMessage{{"a1", "x"}, ms::TablePage{2, 2, {record}}})));
    CHECK_FALSE(decodeFrame(encodeFrame(MembershipMessage{{"a1", ""}, ms::RecordRequest{}})));
}
