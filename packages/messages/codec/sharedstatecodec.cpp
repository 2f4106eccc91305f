#include "messages/codec/sharedstatecodec.h"

#include <envelope.pb.h>

#include <cmath>

namespace chervilmount::messages {

namespace {

using namespace sharedstate;

// Limits what one message can make the lease holder grant or store.
constexpr std::uint32_t MaximumTokens = 1000000;
constexpr int MaximumReports = 1024;

void write(const NodeReference &reference, wire::NodeReference &out)
{
    out.set_node(reference.m_node);
    out.set_incarnation(reference.m_incarnation);
}

NodeReference read(const wire::NodeReference &in)
{
    return {in.node(), in.incarnation()};
}

/** Writes the fields that a promise and the request for it share. */
template<typename Content, typename Message>
void writePromiseFields(const Content &content, Message &out)
{
    out.set_lease(content.m_lease);
    out.set_epoch(content.m_epoch);
    out.set_request(content.m_request);
    write(content.m_holder, *out.mutable_holder());
    write(content.m_successor, *out.mutable_successor());
}

template<typename Content, typename Message>
Content readPromiseFields(const Message &in)
{
    Content content;
    content.m_lease = in.lease();
    content.m_epoch = in.epoch();
    content.m_request = in.request();
    content.m_holder = read(in.holder());
    content.m_successor = read(in.successor());
    return content;
}

void write(const LeasePromiseRequest &payload, wire::SharedStateMessage &out)
{
    writePromiseFields(payload, *out.mutable_lease_promise_request());
}

void write(const LeasePromise &payload, wire::SharedStateMessage &out)
{
    writePromiseFields(payload, *out.mutable_lease_promise());
    out.mutable_lease_promise()->set_reaches_store(payload.m_reachesStore);
}

void write(const GrantRequest &payload, wire::SharedStateMessage &message)
{
    wire::GrantRequest &out = *message.mutable_grant_request();
    out.set_organisation(payload.m_organisation);
    out.set_group(payload.m_group);
    out.set_sender(payload.m_from);
    out.set_borrower(payload.m_borrower);
    out.set_request(payload.m_request);
    out.set_tokens(payload.m_tokens);
    out.set_demand(payload.m_demand);
    for (const GrantReport &report : payload.m_reports) {
        wire::GrantReport &entry = *out.add_reports();
        entry.set_epoch(report.m_epoch);
        entry.set_grant(report.m_grant);
        entry.set_spent(report.m_spent);
        entry.set_returned(report.m_returned);
    }
}

void write(const Grant &payload, wire::SharedStateMessage &message)
{
    wire::Grant &out = *message.mutable_grant();
    out.set_organisation(payload.m_organisation);
    out.set_group(payload.m_group);
    out.set_receiver(payload.m_to);
    out.set_borrower(payload.m_borrower);
    out.set_request(payload.m_request);
    out.set_epoch(payload.m_epoch);
    out.set_grant(payload.m_grant);
    out.set_tokens(payload.m_tokens);
    out.set_lifetime_milliseconds(static_cast<std::uint32_t>(payload.m_lifetime.count()));
}

void write(const GroupHolder &payload, wire::SharedStateMessage &message)
{
    wire::GroupHolder &out = *message.mutable_group_holder();
    out.set_group(payload.m_group);
    out.set_address(payload.m_address);
}

std::optional<SharedStatePayload> readGrantRequest(const wire::GrantRequest &in)
{
    if (in.tokens() > MaximumTokens || in.reports_size() > MaximumReports
        || !std::isfinite(in.demand()) || in.demand() < 0.0)
        return std::nullopt;
    GrantRequest payload;
    payload.m_organisation = in.organisation();
    payload.m_group = in.group();
    payload.m_from = in.sender();
    payload.m_borrower = in.borrower();
    payload.m_request = in.request();
    payload.m_tokens = in.tokens();
    payload.m_demand = in.demand();
    for (const wire::GrantReport &report : in.reports())
        payload.m_reports.push_back(
                {report.epoch(), report.grant(), report.spent(), report.returned()});
    return payload;
}

std::optional<SharedStatePayload> readGrant(const wire::Grant &in)
{
    // The receiver measures the lifetime from its own request. With a longer lifetime it could
    // spend tokens after the issuer has stopped counting the grant.
    if (in.tokens() > MaximumTokens
        || in.lifetime_milliseconds() > static_cast<std::uint32_t>(GrantLifetime.count()))
        return std::nullopt;
    Grant payload;
    payload.m_organisation = in.organisation();
    payload.m_group = in.group();
    payload.m_to = in.receiver();
    payload.m_borrower = in.borrower();
    payload.m_request = in.request();
    payload.m_epoch = in.epoch();
    payload.m_grant = in.grant();
    payload.m_tokens = in.tokens();
    payload.m_lifetime = std::chrono::milliseconds(in.lifetime_milliseconds());
    return payload;
}

std::optional<SharedStatePayload> readPayload(const wire::SharedStateMessage &in)
{
    switch (in.payload_case()) {
    case wire::SharedStateMessage::kLeasePromiseRequest:
        return readPromiseFields<LeasePromiseRequest>(in.lease_promise_request());
    case wire::SharedStateMessage::kLeasePromise: {
        LeasePromise promise = readPromiseFields<LeasePromise>(in.lease_promise());
        promise.m_reachesStore = in.lease_promise().reaches_store();
        return promise;
    }
    case wire::SharedStateMessage::kGrantRequest:
        return readGrantRequest(in.grant_request());
    case wire::SharedStateMessage::kGrant:
        return readGrant(in.grant());
    case wire::SharedStateMessage::kGroupHolder:
        return GroupHolder{in.group_holder().group(), in.group_holder().address()};
    case wire::SharedStateMessage::PAYLOAD_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

void writeSharedState(const SharedStateMessage &message, wire::SharedStateMessage &out)
{
    std::visit([&out](const auto &payload) { write(payload, out); }, message.m_payload);
}

std::optional<SharedStateMessage> readSharedState(const wire::SharedStateMessage &in)
{
    const std::optional<SharedStatePayload> payload = readPayload(in);
    if (!payload)
        return std::nullopt;
    return SharedStateMessage{*payload};
}

} // namespace chervilmount::messages
