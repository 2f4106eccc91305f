#include "node/entry/callerrequests.h"

#include "node/control/keydigest.h"

#include <algorithm>

namespace chervilmount::node {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ReservedPrefix = "chervilmount-";
constexpr std::chrono::milliseconds DefaultRetryDelay{1000};

bool hasReservedPrefix(std::string_view name)
{
    return name.size() > ReservedPrefix.size()
            && adapters::equalNames(name.substr(0, ReservedPrefix.size()), ReservedPrefix);
}

const std::string *findOrganisation(const ConfigurationVersion &configuration,
                                    const std::string &digestKeyText,
                                    std::string_view authorization)
{
    if (authorization.size() <= BearerPrefix.size()
        || !adapters::equalNames(authorization.substr(0, BearerPrefix.size()), BearerPrefix))
        return nullptr;
    const std::string digest = digestKey(digestKeyText, authorization.substr(BearerPrefix.size()));
    const auto place = configuration.m_organisationByDigest.find(digest);
    return place == configuration.m_organisationByDigest.end() ? nullptr : &place->second;
}

} // namespace

void removeReservedFields(std::vector<adapters::HttpField> &fields)
{
    std::erase_if(fields, [](const adapters::HttpField &field) {
        return adapters::equalNames(field.m_name, "Authorization")
                || hasReservedPrefix(field.m_name);
    });
}

EntryDecision decideEntry(const ConfigurationVersion *configuration, const std::string &digestKey,
                          const adapters::HttpRequestHead &head, model::RequestId id,
                          std::chrono::steady_clock::time_point now)
{
    if (configuration == nullptr)
        return RefusalReply{503, true, "no-configuration", DefaultRetryDelay};
    const model::Route *route =
            findRoute(*configuration, head.field("Host"), head.m_method, head.m_target);
    if (route == nullptr)
        return RefusalReply{404, true, "no-route", {}};
    CallPlan plan;
    const std::string *organisation =
            findOrganisation(*configuration, digestKey, head.field("Authorization"));
    if (organisation == nullptr && !route->m_open)
        return RefusalReply{401, true, "unknown-key", {}};
    if (head.m_bodyBytes.value_or(0) > route->m_maximumBodyBytes)
        return RefusalReply{413, true, "body-too-large", {}};
    plan.m_context.m_requestId = id;
    plan.m_context.m_organisation = organisation == nullptr ? "" : *organisation;
    const auto level = configuration->m_levelByPriority.find(route->m_priority);
    plan.m_context.m_priority = level == configuration->m_levelByPriority.end()
            ? model::PriorityLevels - 1
            : level->second;
    plan.m_context.m_deadline = now + route->m_timeout;
    plan.m_context.m_extraAttempts = route->m_extraAttempts;
    plan.m_context.m_onceOnly = route->m_execution == model::Execution::OnceOnly;
    if (plan.m_context.m_onceOnly && head.field("Idempotency-Key").empty())
        return RefusalReply{400, true, "idempotency-key-missing", {}};
    plan.m_service = route->m_service;
    plan.m_route = route->m_name;
    plan.m_head = head;
    plan.m_maximumBodyBytes = route->m_maximumBodyBytes;
    removeReservedFields(plan.m_head.m_fields);
    return plan;
}

} // namespace chervilmount::node
