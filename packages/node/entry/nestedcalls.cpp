#include "node/entry/nestedcalls.h"

#include <algorithm>

namespace chervilmount::node {

namespace {

constexpr std::chrono::milliseconds DefaultRetryDelay{1000};

/** @returns the route of a nested call: the match by path if it leads to the named service, else
 * the first route of that service. */
const model::Route *findServiceRoute(const PublishedConfiguration &configuration,
                                     const std::string &service,
                                     const adapters::HttpRequestHead &head)
{
    const model::Route *route =
            configuration.m_index.routes().find("", head.m_method, head.m_target);
    if (route != nullptr && route->m_service == service)
        return route;
    const std::vector<model::Route> &routes = configuration.m_versioned.configuration().m_routes;
    const auto found =
            std::find_if(routes.begin(), routes.end(), [&service](const model::Route &other) {
                return other.m_service == service;
            });
    return found == routes.end() ? nullptr : &*found;
}

void restoreContext(model::RequestContext &context, const IncomingCall &parent)
{
    const messages::CallStart &start = parent.m_start;
    context.m_requestId = start.m_key.m_requestId;
    context.m_organisation = start.m_organisation;
    context.m_priority = start.m_priority;
    context.m_rank = start.m_rank;
    context.m_pathDepth = start.m_pathDepth + 1;
    context.m_deadline = std::min(context.m_deadline, parent.m_deadline);
}

} // namespace

EntryDecision decideNested(const EntryInput &input, const IncomingCall *parent,
                           const adapters::HttpRequestHead &head)
{
    if (input.m_configuration == nullptr)
        return RefusalReply{503, true, "no-configuration", DefaultRetryDelay};
    const PublishedConfiguration &configuration = *input.m_configuration;
    CallPlan plan;
    plan.m_service = std::string(head.field("Chervilmount-Service"));
    const model::Service *service = configuration.m_index.service(plan.m_service);
    if (service == nullptr)
        return RefusalReply{404, true, "unknown-service", {}};
    const model::Route *route = findServiceRoute(configuration, plan.m_service, head);
    const bool open = route != nullptr && route->m_open;
    if (parent == nullptr && !open)
        return RefusalReply{403, true, "unknown-context", {}};
    if (parent != nullptr && parent->m_start.m_pathDepth >= model::MaximumPathDepth)
        return RefusalReply{508, true, "path-too-deep", {}};
    if (service->m_calls.empty())
        plan.m_nestedCalls = overload::NestedCalls::None;
    plan.m_head = head;
    removeReservedFields(plan.m_head.m_fields);
    model::RequestContext &context = plan.m_context;
    // A service that is only called by other services needs no route; the default limits and the
    // deadline of the parent call apply.
    const model::Route limits = route == nullptr ? model::Route() : *route;
    plan.m_route = limits.m_name;
    plan.m_maximumBodyBytes = limits.m_maximumBodyBytes;
    context.m_onceOnly = limits.m_execution == model::Execution::OnceOnly;
    context.m_deadline = route == nullptr && parent != nullptr ? parent->m_deadline
                                                               : input.m_now + limits.m_timeout;
    if (parent != nullptr) {
        restoreContext(context, *parent);
        return plan;
    }
    context.m_requestId = input.m_id;
    context.m_extraAttempts = limits.m_extraAttempts;
    context.m_rank = overload::makeRank(model::PriorityLevels - 1, 0, input.m_id);
    return plan;
}

} // namespace chervilmount::node
