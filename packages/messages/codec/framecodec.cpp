#include "messages/codec/framecodec.h"

#include "messages/codec/membershipcodec.h"
#include "messages/codec/sharedstatecodec.h"

#include <envelope.pb.h>

#include <algorithm>
#include <cmath>

namespace chervilmount::messages {

namespace {

constexpr std::uint32_t MaximumStatus = 999;
constexpr std::uint32_t MinimumStatus = 100;
// Limits how long a peer can make the receiver hold a call, and how many retries it can request.
constexpr std::uint64_t MaximumRemainingMicroseconds = 24ULL * 3600 * 1000 * 1000;
constexpr std::uint32_t MaximumExtraAttempts = 5;

void write(const CallKey &key, wire::CallKey &out)
{
    out.set_request_id(key.m_requestId.data(), key.m_requestId.size());
    out.set_call(key.m_call);
    out.set_attempt(key.m_attempt);
}

template<typename Message>
void writeFields(const std::vector<HeaderField> &fields, Message &out)
{
    for (const HeaderField &field : fields) {
        wire::HeaderField &entry = *out.add_fields();
        entry.set_name(field.m_name);
        entry.set_value(field.m_value);
    }
}

void write(const LoadReport &load, wire::LoadReport &out)
{
    out.set_in_flight(load.m_inFlight);
    out.set_slots(load.m_slots);
    out.set_leaving(load.m_leaving);
    out.set_threshold(load.m_threshold);
    out.set_load(load.m_load);
}

void write(const CallStart &frame, wire::Envelope &envelope)
{
    wire::CallStart &out = *envelope.mutable_call_start();
    write(frame.m_key, *out.mutable_key());
    out.set_service(frame.m_service);
    out.set_route(frame.m_route);
    out.set_method(frame.m_method);
    out.set_target(frame.m_target);
    writeFields(frame.m_fields, out);
    out.set_has_body(frame.m_hasBody);
    if (frame.m_bodyBytes)
        out.set_body_bytes(*frame.m_bodyBytes);
    out.set_organisation(frame.m_organisation);
    out.set_priority(static_cast<std::uint32_t>(frame.m_priority));
    out.set_remaining_microseconds(
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, frame.m_remaining.count())));
    out.set_extra_attempts(static_cast<std::uint32_t>(frame.m_extraAttempts));
    out.set_path_depth(static_cast<std::uint32_t>(frame.m_pathDepth));
    out.set_rank(frame.m_rank);
    out.set_once_only(frame.m_onceOnly);
    out.set_repeat(frame.m_repeat);
}

void write(const CallBody &frame, wire::Envelope &envelope)
{
    wire::CallBody &out = *envelope.mutable_call_body();
    write(frame.m_key, *out.mutable_key());
    out.set_data(frame.m_data);
    out.set_last(frame.m_last);
}

void write(const CallCancel &frame, wire::Envelope &envelope)
{
    write(frame.m_key, *envelope.mutable_call_cancel()->mutable_key());
}

void write(const AnswerHead &frame, wire::Envelope &envelope)
{
    wire::AnswerHead &out = *envelope.mutable_answer_head();
    write(frame.m_key, *out.mutable_key());
    out.set_status(static_cast<std::uint32_t>(frame.m_status));
    writeFields(frame.m_fields, out);
    if (frame.m_bodyBytes)
        out.set_body_bytes(*frame.m_bodyBytes);
    write(frame.m_load, *out.mutable_load());
}

void write(const AnswerChunk &frame, wire::Envelope &envelope)
{
    wire::AnswerChunk &out = *envelope.mutable_answer_chunk();
    write(frame.m_key, *out.mutable_key());
    out.set_data(frame.m_data);
}

void write(const AnswerEnd &frame, wire::Envelope &envelope)
{
    wire::AnswerEnd &out = *envelope.mutable_answer_end();
    write(frame.m_key, *out.mutable_key());
    out.set_total_bytes(frame.m_totalBytes);
    out.set_checksum(frame.m_checksum);
    out.set_unused_extra_attempts(static_cast<std::uint32_t>(frame.m_unusedExtraAttempts));
    write(frame.m_load, *out.mutable_load());
    out.set_complete(frame.m_complete);
}

void write(const AnswerWindow &frame, wire::Envelope &envelope)
{
    wire::AnswerWindow &out = *envelope.mutable_answer_window();
    write(frame.m_key, *out.mutable_key());
    out.set_bytes(frame.m_bytes);
}

void write(const BodyWindow &frame, wire::Envelope &envelope)
{
    wire::BodyWindow &out = *envelope.mutable_body_window();
    write(frame.m_key, *out.mutable_key());
    out.set_bytes(frame.m_bytes);
}

void write(const Refusal &frame, wire::Envelope &envelope)
{
    wire::Refusal &out = *envelope.mutable_refusal();
    write(frame.m_key, *out.mutable_key());
    out.set_not_run(frame.m_notRun);
    out.set_retryable(frame.m_retryable);
    out.set_reason(frame.m_reason);
    out.set_retry_after_milliseconds(static_cast<std::uint32_t>(frame.m_retryAfter.count()));
    out.set_status(static_cast<std::uint32_t>(frame.m_status));
    out.set_unused_extra_attempts(static_cast<std::uint32_t>(frame.m_unusedExtraAttempts));
    write(frame.m_load, *out.mutable_load());
}

void write(const MembershipMessage &frame, wire::Envelope &envelope)
{
    writeMembership(frame, *envelope.mutable_membership());
}

void write(const SharedStateMessage &frame, wire::Envelope &envelope)
{
    writeSharedState(frame, *envelope.mutable_shared_state());
}

bool read(const wire::CallKey &in, CallKey &key)
{
    if (in.request_id().size() != key.m_requestId.size())
        return false;
    std::copy(in.request_id().begin(), in.request_id().end(), key.m_requestId.begin());
    key.m_call = in.call();
    key.m_attempt = in.attempt();
    return true;
}

template<typename Message>
std::vector<HeaderField> readFields(const Message &in)
{
    std::vector<HeaderField> fields;
    fields.reserve(static_cast<std::size_t>(in.fields_size()));
    for (const wire::HeaderField &field : in.fields())
        fields.push_back({field.name(), field.value()});
    return fields;
}

bool read(const wire::LoadReport &in, LoadReport &load)
{
    if (in.threshold() > UINT16_MAX || !std::isfinite(in.load()) || in.load() < 0.0)
        return false;
    load.m_load = in.load();
    load.m_inFlight = in.in_flight();
    load.m_slots = in.slots();
    load.m_leaving = in.leaving();
    load.m_threshold = static_cast<std::uint16_t>(in.threshold());
    return true;
}

bool isStatus(std::uint32_t status)
{
    return status >= MinimumStatus && status <= MaximumStatus;
}

std::optional<Frame> readCallStart(const wire::CallStart &in)
{
    CallStart frame;
    if (!read(in.key(), frame.m_key) || in.priority() >= 8 || in.rank() > UINT16_MAX
        || in.path_depth() > model::MaximumPathDepth || in.extra_attempts() > MaximumExtraAttempts
        || in.remaining_microseconds() > MaximumRemainingMicroseconds)
        return std::nullopt;
    frame.m_service = in.service();
    frame.m_route = in.route();
    frame.m_method = in.method();
    frame.m_target = in.target();
    frame.m_fields = readFields(in);
    frame.m_hasBody = in.has_body();
    if (in.has_body_bytes())
        frame.m_bodyBytes = in.body_bytes();
    frame.m_organisation = in.organisation();
    frame.m_priority = static_cast<int>(in.priority());
    frame.m_remaining = std::chrono::microseconds(in.remaining_microseconds());
    frame.m_extraAttempts = static_cast<int>(in.extra_attempts());
    frame.m_pathDepth = static_cast<int>(in.path_depth());
    frame.m_rank = static_cast<std::uint16_t>(in.rank());
    frame.m_onceOnly = in.once_only();
    frame.m_repeat = in.repeat();
    return frame;
}

std::optional<Frame> readAnswerHead(const wire::AnswerHead &in)
{
    AnswerHead frame;
    if (!read(in.key(), frame.m_key) || !isStatus(in.status()) || !read(in.load(), frame.m_load))
        return std::nullopt;
    frame.m_status = static_cast<int>(in.status());
    frame.m_fields = readFields(in);
    if (in.has_body_bytes())
        frame.m_bodyBytes = in.body_bytes();
    return frame;
}

std::optional<Frame> readAnswerEnd(const wire::AnswerEnd &in)
{
    AnswerEnd frame;
    if (!read(in.key(), frame.m_key) || !read(in.load(), frame.m_load)
        || in.unused_extra_attempts() > MaximumExtraAttempts)
        return std::nullopt;
    frame.m_totalBytes = in.total_bytes();
    frame.m_checksum = in.checksum();
    frame.m_unusedExtraAttempts = static_cast<int>(in.unused_extra_attempts());
    frame.m_complete = in.complete();
    return frame;
}

std::optional<Frame> readRefusal(const wire::Refusal &in)
{
    Refusal frame;
    if (!read(in.key(), frame.m_key) || !read(in.load(), frame.m_load) || !isStatus(in.status())
        || in.unused_extra_attempts() > MaximumExtraAttempts)
        return std::nullopt;
    frame.m_notRun = in.not_run();
    frame.m_retryable = in.retryable();
    frame.m_reason = in.reason();
    frame.m_retryAfter = std::chrono::milliseconds(in.retry_after_milliseconds());
    frame.m_status = static_cast<int>(in.status());
    frame.m_unusedExtraAttempts = static_cast<int>(in.unused_extra_attempts());
    return frame;
}

std::optional<Frame> readMembershipFrame(const wire::MembershipMessage &in)
{
    if (std::optional<MembershipMessage> message = readMembership(in))
        return *message;
    return std::nullopt;
}

std::optional<Frame> readSharedStateFrame(const wire::SharedStateMessage &in)
{
    if (std::optional<SharedStateMessage> message = readSharedState(in))
        return *message;
    return std::nullopt;
}

template<typename FrameType, typename Message>
std::optional<Frame> readWindow(const Message &in)
{
    FrameType frame;
    if (!read(in.key(), frame.m_key))
        return std::nullopt;
    frame.m_bytes = in.bytes();
    return frame;
}

std::optional<Frame> readCallBody(const wire::CallBody &in)
{
    CallBody frame;
    if (!read(in.key(), frame.m_key) || in.data().size() > ChunkBytes)
        return std::nullopt;
    frame.m_data = in.data();
    frame.m_last = in.last();
    return frame;
}

std::optional<Frame> readAnswerChunk(const wire::AnswerChunk &in)
{
    AnswerChunk frame;
    if (!read(in.key(), frame.m_key) || in.data().size() > ChunkBytes)
        return std::nullopt;
    frame.m_data = in.data();
    return frame;
}

std::optional<Frame> readCallCancel(const wire::CallCancel &in)
{
    CallCancel frame;
    if (!read(in.key(), frame.m_key))
        return std::nullopt;
    return frame;
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    wire::Envelope envelope;
    std::visit([&envelope](const auto &content) { write(content, envelope); }, frame);
    return envelope.SerializeAsString();
}

std::optional<Frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() > MaximumFrameBytes)
        return std::nullopt;
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    switch (envelope.content_case()) {
    case wire::Envelope::kCallStart:
        return readCallStart(envelope.call_start());
    case wire::Envelope::kCallBody:
        return readCallBody(envelope.call_body());
    case wire::Envelope::kCallCancel:
        return readCallCancel(envelope.call_cancel());
    case wire::Envelope::kAnswerHead:
        return readAnswerHead(envelope.answer_head());
    case wire::Envelope::kAnswerChunk:
        return readAnswerChunk(envelope.answer_chunk());
    case wire::Envelope::kAnswerEnd:
        return readAnswerEnd(envelope.answer_end());
    case wire::Envelope::kAnswerWindow:
        return readWindow<AnswerWindow>(envelope.answer_window());
    case wire::Envelope::kRefusal:
        return readRefusal(envelope.refusal());
    case wire::Envelope::kBodyWindow:
        return readWindow<BodyWindow>(envelope.body_window());
    case wire::Envelope::kMembership:
        return readMembershipFrame(envelope.membership());
    case wire::Envelope::kSharedState:
        return readSharedStateFrame(envelope.shared_state());
    case wire::Envelope::CONTENT_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace chervilmount::messages
