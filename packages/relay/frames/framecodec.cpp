#include "relay/frames/framecodec.h"

#include "relay.pb.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chervilmount::relay {

namespace {

std::uint32_t toWire(std::chrono::milliseconds duration)
{
    constexpr std::int64_t Largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, Largest));
}

void write(const traffic::TargetLoad &load, wire::Load &message)
{
    message.set_limit(static_cast<std::uint32_t>(load.m_limit));
    message.set_running(static_cast<std::uint32_t>(load.m_running));
    message.set_waiting(static_cast<std::uint32_t>(load.m_waiting));
    message.set_hold_microseconds(static_cast<std::uint32_t>(load.m_holdSeconds * 1e6));
    message.set_relative_hold(static_cast<std::uint32_t>(load.m_relativeHold * 1e3));
}

int toCount(std::uint32_t value)
{
    constexpr std::uint32_t Largest = std::numeric_limits<int>::max();
    return static_cast<int>(std::min(value, Largest));
}

traffic::TargetLoad read(const wire::Load &message)
{
    return {toCount(message.limit()), toCount(message.running()), toCount(message.waiting()),
            message.hold_microseconds() * 1e-6, message.relative_hold() * 1e-3};
}

template<typename Message>
void writeDepartures(const std::vector<traffic::DepartedInstance> &departed, Message &message)
{
    for (const traffic::DepartedInstance &instance : departed) {
        wire::Departure &target = *message.add_departed();
        target.set_instance(instance.m_id);
        target.set_started_at(static_cast<std::uint64_t>(instance.m_startedAt.count()));
    }
}

template<typename Message>
std::vector<traffic::DepartedInstance> readDepartures(const Message &message)
{
    std::vector<traffic::DepartedInstance> departed;
    for (const wire::Departure &instance : message.departed()) {
        const std::chrono::milliseconds startedAt(static_cast<std::int64_t>(instance.started_at()));
        if (traffic::isPlausibleStart(startedAt))
            departed.push_back({instance.instance(), startedAt});
    }
    return departed;
}

void write(const NodeRecord &record, wire::NodeRecord &message)
{
    message.set_node(record.m_node);
    message.set_address(record.m_address);
    message.set_failure_domain(record.m_failureDomain);
    message.set_region(record.m_region);
    message.set_started_at(static_cast<std::uint64_t>(record.m_startedAt.count()));
    message.set_version(record.m_version);
    message.set_service(record.m_service);
    message.set_usable(record.m_usable);
    message.set_leaving(record.m_leaving);
    writeDepartures(record.m_departed, message);
}

NodeRecord read(const wire::NodeRecord &message)
{
    NodeRecord record;
    record.m_node = message.node();
    record.m_address = message.address();
    record.m_failureDomain = message.failure_domain();
    record.m_region = message.region();
    record.m_startedAt = std::chrono::milliseconds(static_cast<std::int64_t>(message.started_at()));
    record.m_version = message.version();
    record.m_service = message.service();
    record.m_usable = message.usable();
    record.m_leaving = message.leaving();
    record.m_departed = readDepartures(message);
    return record;
}

template<typename Message>
void writeFields(const std::vector<HeaderField> &fields, Message &message)
{
    for (const HeaderField &field : fields) {
        wire::HeaderField &target = *message.add_fields();
        target.set_name(field.m_name);
        target.set_value(field.m_value);
    }
}

template<typename Message>
std::vector<HeaderField> readFields(Message &message)
{
    std::vector<HeaderField> fields;
    fields.reserve(static_cast<std::size_t>(message.fields_size()));
    for (wire::HeaderField &field : *message.mutable_fields())
        fields.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    return fields;
}

void write(const std::string &service, const traffic::WorkByLevel &levels,
           wire::ServiceDemand &message)
{
    message.set_service(service);
    std::size_t used = levels.size();
    while (used > 0 && levels[used - 1] <= 0)
        --used;
    for (std::size_t level = 0; level < used; ++level)
        message.add_work(static_cast<float>(levels[level]));
}

void write(const traffic::RateStatement &statement, wire::RateStatement &message)
{
    message.set_counted(statement.m_counted);
    message.set_established(statement.m_isEstablished);
    message.set_released(statement.m_isReleased);
}

traffic::RateStatement read(const wire::RateStatement &message)
{
    return {message.counted(), message.established(), message.released()};
}

void write(const Hello &hello, wire::Frame &frame)
{
    wire::Hello &message = *frame.mutable_hello();
    write(hello.m_record, *message.mutable_record());
    message.set_policy_version(hello.m_policyVersion);
    writeDepartures(hello.m_departed, message);
    write(hello.m_rates, *message.mutable_rates());
}

void write(const Status &status, wire::Frame &frame)
{
    wire::Status &message = *frame.mutable_status();
    if (status.m_record)
        write(*status.m_record, *message.mutable_record());
    write(status.m_load, *message.mutable_load());
    message.set_policy_version(status.m_policyVersion);
    message.set_reaches_store(status.m_reachesStore);
    message.set_store_era(status.m_storeEra);
    message.set_held_version(status.m_heldVersion);
    write(status.m_rates, *message.mutable_rates());
    for (const auto &[route, observed] : status.m_profile) {
        wire::RouteProfile &profile = *message.add_profile();
        profile.set_route(route);
        profile.set_runs(static_cast<float>(observed.m_runs));
        profile.set_active_seconds(static_cast<float>(observed.m_activeSeconds));
        for (const auto &[callee, calls] : observed.m_calls) {
            wire::CalledRoute &called = *profile.add_calls();
            called.set_route(callee);
            called.set_calls(static_cast<float>(calls));
        }
    }
    for (const auto &[service, levels] : status.m_demand)
        write(service, levels, *message.add_demand());
}

void write(const Call &call, wire::Frame &frame)
{
    wire::Call &message = *frame.mutable_call();
    message.set_id(call.m_id);
    message.set_service(call.m_service);
    message.set_route(call.m_route);
    message.set_method(call.m_method);
    message.set_target(call.m_target);
    message.set_host(call.m_host);
    writeFields(call.m_fields, message);
    message.set_body(call.m_body);
    message.set_remaining_milliseconds(toWire(call.m_remaining));
    message.set_priority(static_cast<std::uint32_t>(call.m_priority));
    message.set_nested(call.m_nested);
    message.set_organisation(call.m_organisation);
    message.set_target_latency_milliseconds(toWire(call.m_targetLatency));
    message.set_idempotent(call.m_idempotent);
    message.set_attempt(call.m_attempt);
    message.set_caller_service(call.m_callerService);
}

void write(const Cancel &cancel, wire::Frame &frame)
{
    frame.mutable_cancel()->set_id(cancel.m_id);
}

void write(const Answer &answer, wire::Frame &frame)
{
    wire::Answer &message = *frame.mutable_answer();
    message.set_id(answer.m_id);
    message.set_status(static_cast<std::uint32_t>(answer.m_status));
    writeFields(answer.m_fields, message);
    message.set_body(answer.m_body);
    write(answer.m_load, *message.mutable_load());
}

void write(const Failure &failure, wire::Frame &frame)
{
    wire::Failure &message = *frame.mutable_failure();
    message.set_id(failure.m_id);
    message.set_not_run(failure.m_notRun);
    message.set_arrived(failure.m_arrived);
    message.set_reason(static_cast<std::uint32_t>(failure.m_reason));
    write(failure.m_load, *message.mutable_load());
}

void write(const PolicyRequest & /*request*/, wire::Frame &frame)
{
    frame.mutable_policy_request();
}

void write(const PolicyDocument &document, wire::Frame &frame)
{
    wire::PolicyDocument &message = *frame.mutable_policy_document();
    message.set_version(document.m_version);
    message.set_document(document.m_document);
}

void write(const TokenRequest &request, wire::Frame &frame)
{
    wire::TokenRequest &message = *frame.mutable_token_request();
    message.set_organisation(request.m_organisation);
    message.set_wanted(request.m_wanted);
}

void write(const TokenGrant &grant, wire::Frame &frame)
{
    wire::TokenGrant &message = *frame.mutable_token_grant();
    message.set_organisation(grant.m_organisation);
    message.set_tokens(grant.m_tokens);
}

void write(const NodesRequest & /*request*/, wire::Frame &frame)
{
    frame.mutable_nodes_request();
}

void write(const NodeList &list, wire::Frame &frame)
{
    wire::NodeList &message = *frame.mutable_node_list();
    for (const NodeRecord &node : list.m_nodes)
        write(node, *message.add_nodes());
    message.set_complete(list.m_isComplete);
}

NodeList readNodeList(const wire::NodeList &message)
{
    NodeList list;
    for (const wire::NodeRecord &node : message.nodes())
        list.m_nodes.push_back(read(node));
    list.m_isComplete = message.complete();
    return list;
}

/** @returns the value, or 0 if it is negative, no number or beyond any work or rate. */
double toAmount(double value)
{
    constexpr double ImplausibleAmount = 1e9;
    return value > 0 && value < ImplausibleAmount ? value : 0.0;
}

Status readStatus(const wire::Status &message)
{
    Status status;
    if (message.has_record())
        status.m_record = read(message.record());
    status.m_load = read(message.load());
    status.m_policyVersion = message.policy_version();
    status.m_reachesStore = message.reaches_store();
    status.m_storeEra = message.store_era();
    status.m_heldVersion = message.held_version();
    status.m_rates = read(message.rates());
    for (const wire::RouteProfile &profile : message.profile()) {
        traffic::RouteProfile observed{profile.runs(), profile.active_seconds(), {}};
        for (const wire::CalledRoute &called : profile.calls())
            observed.m_calls[called.route()] = called.calls();
        if (traffic::isPlausible(observed))
            status.m_profile[profile.route()] = std::move(observed);
    }
    for (const wire::ServiceDemand &demand : message.demand()) {
        traffic::WorkByLevel &levels = status.m_demand.try_emplace(demand.service()).first->second;
        const std::size_t sent = static_cast<std::size_t>(demand.work_size());
        for (std::size_t level = 0; level < std::min(sent, levels.size()); ++level)
            levels[level] = toAmount(demand.work(static_cast<int>(level)));
    }
    return status;
}

Call readCall(wire::Call &message)
{
    Call call;
    call.m_id = message.id();
    call.m_service = std::move(*message.mutable_service());
    call.m_route = std::move(*message.mutable_route());
    call.m_method = std::move(*message.mutable_method());
    call.m_target = std::move(*message.mutable_target());
    call.m_host = std::move(*message.mutable_host());
    call.m_fields = readFields(message);
    call.m_body = std::move(*message.mutable_body());
    call.m_remaining = std::chrono::milliseconds(message.remaining_milliseconds());
    call.m_priority = static_cast<int>(message.priority());
    call.m_nested = message.nested();
    call.m_organisation = std::move(*message.mutable_organisation());
    call.m_targetLatency = std::chrono::milliseconds(message.target_latency_milliseconds());
    call.m_idempotent = message.idempotent();
    call.m_attempt = std::move(*message.mutable_attempt());
    call.m_callerService = std::move(*message.mutable_caller_service());
    return call;
}

Answer readAnswer(wire::Answer &message)
{
    Answer answer;
    answer.m_id = message.id();
    answer.m_status = static_cast<int>(message.status());
    answer.m_fields = readFields(message);
    answer.m_body = std::move(*message.mutable_body());
    answer.m_load = read(message.load());
    return answer;
}

Failure readFailure(const wire::Failure &message)
{
    Failure failure;
    failure.m_id = message.id();
    failure.m_notRun = message.not_run();
    failure.m_arrived = message.arrived();
    if (message.reason() <= static_cast<std::uint32_t>(FailureReason::LinkLost))
        failure.m_reason = static_cast<FailureReason>(message.reason());
    failure.m_load = read(message.load());
    return failure;
}

} // namespace

void appendFrame(const Frame &frame, std::string &output)
{
    wire::Frame message;
    std::visit([&message](const auto &payload) { write(payload, message); }, frame);
    const std::size_t length = message.ByteSizeLong();
    for (int shift = 24; shift >= 0; shift -= 8)
        output += static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU);
    message.AppendToString(&output);
}

std::size_t frameLength(std::string_view prefix)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index)
        length = (length << 8U) | static_cast<unsigned char>(prefix[index]);
    return length;
}

std::optional<Frame> parseFrame(std::string_view bytes)
{
    wire::Frame message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    switch (message.payload_case()) {
    case wire::Frame::kCall:
        return readCall(*message.mutable_call());
    case wire::Frame::kCancel:
        return Cancel{message.cancel().id()};
    case wire::Frame::kAnswer:
        return readAnswer(*message.mutable_answer());
    case wire::Frame::kFailure:
        return readFailure(message.failure());
    case wire::Frame::kHello:
        return Hello{read(message.hello().record()), message.hello().policy_version(),
                     readDepartures(message.hello()), read(message.hello().rates())};
    case wire::Frame::kStatus:
        return readStatus(message.status());
    case wire::Frame::kPolicyRequest:
        return PolicyRequest{};
    case wire::Frame::kPolicyDocument:
        return PolicyDocument{message.policy_document().version(),
                              message.policy_document().document()};
    case wire::Frame::kTokenRequest:
        return TokenRequest{message.token_request().organisation(),
                            toAmount(message.token_request().wanted())};
    case wire::Frame::kTokenGrant:
        return TokenGrant{message.token_grant().organisation(),
                          toAmount(message.token_grant().tokens())};
    case wire::Frame::kNodesRequest:
        return NodesRequest{};
    case wire::Frame::kNodeList:
        return readNodeList(message.node_list());
    case wire::Frame::PAYLOAD_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace chervilmount::relay
