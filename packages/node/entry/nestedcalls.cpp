#include "node/entry/nestedcalls.h"

#include <algorithm>

namespace chervilmount::node {

namespace {

constexpr std::chrono::milliseconds DefaultRetryDelay{1000};

/** The route of a nested call: the best match among the routes of the named service. */
const model::Route *findServiceRoute(const ConfigurationVersion &configuration,
                                     const std::string &service,
                                     const adapters::HttpRequestHead &head)
{
    const model::Route *route =
            findRoute(configuration, head.field("Host"), head.m_method, head.m_target);
    if (route != nullptr && route->m_service == service)
        return route;
    const auto place = std::find_if(
            configuration.m_set.m_routes.begin(), configuration.m_set.m_routes.end(),
            [&service](const model::Route &other) { return other.m_service == service; });
    return place == configuration.m_set.m_routes.end() ? nullptr : &*place;
}

} // namespace

EntryDecision decideNested(const ConfigurationVersion *configuration, IncomingCall *parent,
                           const adapters::HttpRequestHead &head, model::RequestId newId,
                           std::chrono::steady_clock::time_point now)
{
    if (configuration == nullptr)
        return RefusalReply{503, true, "no-configuration", DefaultRetryDelay};
    CallPlan plan;
    plan.m_service = std::string(head.field("Chervilmount-Service"));
    const model::Route *route = findServiceRoute(*configuration, plan.m_service, head);
    if (plan.m_service.empty() || route == nullptr)
        return RefusalReply{404, true, "unknown-service", {}};
    if (parent == nullptr && !route->m_open)
        return RefusalReply{403, true, "unknown-context", {}};
    plan.m_route = route->m_name;
    plan.m_head = head;
    plan.m_maximumBodyBytes = route->m_maximumBodyBytes;
    removeReservedFields(plan.m_head.m_fields);
    model::RequestContext &context = plan.m_context;
    context.m_deadline = now + route->m_timeout;
    context.m_onceOnly = route->m_execution == model::Execution::OnceOnly;
    if (parent == nullptr) {
        context.m_requestId = newId;
        context.m_extraAttempts = route->m_extraAttempts;
        return plan;
    }
    const messages::CallStart &start = parent->m_start;
    if (start.m_pathDepth >= model::MaximumPathDepth)
        return RefusalReply{508, true, "path-too-deep", {}};
    context.m_requestId = start.m_key.m_requestId;
    context.m_organisation = start.m_organisation;
    context.m_priority = start.m_priority;
    context.m_rank = start.m_rank;
    context.m_pathDepth = start.m_pathDepth + 1;
    context.m_deadline = std::min(context.m_deadline, parent->m_deadline);
    // Half is kept for other nested calls of the same request.
    context.m_extraAttempts = (parent->m_extraAttempts + 1) / 2;
    parent->m_extraAttempts -= context.m_extraAttempts;
    return plan;
}

} // namespace chervilmount::node
