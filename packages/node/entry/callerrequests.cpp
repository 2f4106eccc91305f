#include "node/entry/callerrequests.h"

#include <algorithm>
#include <optional>

namespace chervilmount::node {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ReservedPrefix = "chervilmount-";
constexpr std::chrono::milliseconds DefaultRetryDelay{1000};

// Longest accepted idempotency key; its hash is part of the name of the claim row.
constexpr std::size_t MaximumIdempotencyKeyLength = 256;

bool hasReservedPrefix(std::string_view name)
{
    return name.size() > ReservedPrefix.size()
            && adapters::equalNames(name.substr(0, ReservedPrefix.size()), ReservedPrefix);
}

const model::Key *findKey(const PublishedConfiguration &configuration,
                          const model::KeyDigester &digester, std::string_view authorization)
{
    if (authorization.size() <= BearerPrefix.size()
        || !adapters::equalNames(authorization.substr(0, BearerPrefix.size()), BearerPrefix))
        return nullptr;
    return configuration.m_index.keys().find(
            digester.digest(authorization.substr(BearerPrefix.size())));
}

/** The organisation's share in this failure domain, 0 to 1. */
double shareFraction(const PublishedConfiguration &configuration,
                     const model::Organisation &organisation, const std::string &failureDomain)
{
    for (const model::BaseShare &share : organisation.m_shares) {
        if (share.m_failureDomain == failureDomain)
            return share.m_fraction;
    }
    const std::size_t domains = configuration.m_versioned.configuration().m_failureDomains.size();
    if (!organisation.m_shares.empty() || domains == 0)
        return 0.0;
    return 1.0 / static_cast<double>(domains);
}

/** Requests per second expected at this node if its domain's share is spread evenly. */
double expectedRate(const EntryInput &input, const model::Organisation &organisation)
{
    return organisation.m_rate
            * shareFraction(*input.m_configuration, organisation, input.m_failureDomain)
            / static_cast<double>(std::max<std::size_t>(1, input.m_nodesInDomain));
}

std::optional<RefusalReply> checkFreshness(const EntryInput &input,
                                           const model::Organisation *organisation)
{
    std::chrono::nanoseconds bound = FreshnessBound;
    if (organisation != nullptr)
        bound += organisation->m_servesWithoutProof;
    if (input.m_proofAge && *input.m_proofAge <= bound)
        return std::nullopt;
    return RefusalReply{503, true, "configuration-not-proven", DefaultRetryDelay};
}

int levelOf(const PublishedConfiguration &configuration, const std::string &priority)
{
    const model::Priority *found = configuration.m_index.priority(priority);
    return found == nullptr ? model::PriorityLevels - 1 : found->m_level;
}

int countRepeats(EntryState &state, const EntryInput &input, const adapters::HttpRequestHead &head,
                 const std::string &organisation)
{
    std::string_view key = head.field("Idempotency-Key");
    if (key.empty())
        key = head.field("Chervilmount-Request-Key");
    return key.empty() ? 0 : state.m_repeats.count(organisation, key, input.m_now);
}

void setRank(EntryState &state, const EntryInput &input, const model::Organisation *organisation,
             CallPlan &plan)
{
    int level = 0;
    if (organisation != nullptr) {
        const double used = overload::recordUse(state.m_usage[organisation->m_name], input.m_now);
        level = overload::overUseLevel(used, expectedRate(input, *organisation),
                                       plan.m_callerRepeats);
    }
    plan.m_context.m_rank =
            overload::makeRank(plan.m_context.m_priority, level, plan.m_context.m_requestId);
}

/** Checks that depend only on the route, the key and the request head. */
std::optional<RefusalReply> checkRequest(const EntryInput &input, const model::Route &route,
                                         const model::Key *key,
                                         const adapters::HttpRequestHead &head)
{
    if (key == nullptr && !route.m_open)
        return RefusalReply{401, true, "unknown-key", {}};
    if (head.m_bodyBytes.value_or(0) > route.m_maximumBodyBytes)
        return RefusalReply{413, true, "body-too-large", {}};
    const std::string_view idempotencyKey = head.field("Idempotency-Key");
    if (route.m_execution == model::Execution::OnceOnly
        && (idempotencyKey.empty() || idempotencyKey.size() > MaximumIdempotencyKeyLength))
        return RefusalReply{400, true, "idempotency-key-missing", {}};
    if (route.m_open)
        return std::nullopt;
    return checkFreshness(input, input.m_configuration->m_index.organisation(key->m_organisation));
}

} // namespace

void removeReservedFields(std::vector<adapters::HttpField> &fields)
{
    std::erase_if(fields, [](const adapters::HttpField &field) {
        return adapters::equalNames(field.m_name, "Authorization")
                || hasReservedPrefix(field.m_name);
    });
}

EntryDecision decideCaller(EntryState &state, const EntryInput &input,
                           const model::KeyDigester &digester,
                           const adapters::HttpRequestHead &head)
{
    if (input.m_configuration == nullptr)
        return RefusalReply{503, true, "no-configuration", DefaultRetryDelay};
    const PublishedConfiguration &configuration = *input.m_configuration;
    const model::Route *route =
            configuration.m_index.routes().find(head.field("Host"), head.m_method, head.m_target);
    if (route == nullptr)
        return RefusalReply{404, true, "no-route", {}};
    const model::Key *key = findKey(configuration, digester, head.field("Authorization"));
    if (std::optional<RefusalReply> refusal = checkRequest(input, *route, key, head))
        return *refusal;
    CallPlan plan;
    plan.m_context.m_requestId = input.m_id;
    plan.m_context.m_organisation = key == nullptr ? "" : key->m_organisation;
    plan.m_context.m_priority = levelOf(configuration, route->m_priority);
    plan.m_context.m_deadline = input.m_now + route->m_timeout;
    plan.m_context.m_extraAttempts = route->m_extraAttempts;
    plan.m_context.m_onceOnly = route->m_execution == model::Execution::OnceOnly;
    plan.m_service = route->m_service;
    plan.m_route = route->m_name;
    plan.m_crossRegion = route->m_crossRegion;
    const model::Service *service = configuration.m_index.service(route->m_service);
    if (service != nullptr && service->m_calls.empty())
        plan.m_nestedCalls = overload::NestedCalls::None;
    plan.m_head = head;
    plan.m_maximumBodyBytes = route->m_maximumBodyBytes;
    plan.m_idempotencyKey = std::string(head.field("Idempotency-Key"));
    plan.m_callerRepeats = countRepeats(state, input, head, plan.m_context.m_organisation);
    const model::Organisation *organisation =
            configuration.m_index.organisation(plan.m_context.m_organisation);
    setRank(state, input, organisation, plan);
    removeReservedFields(plan.m_head.m_fields);
    return plan;
}

} // namespace chervilmount::node
