#pragma once

#include "adapters/http/httpmessage.h"
#include "model/request/requestcontext.h"
#include "overload/overload.h"
#include "sharedstate/sharedstate.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervilmount::node {

/** An accepted request, ready to be sent to a backend server. */
struct CallPlan
{
    model::RequestContext m_context;
    std::string m_service;
    std::string m_route;
    bool m_crossRegion = false;
    /** Whether the called service makes nested calls itself. */
    overload::NestedCalls m_nestedCalls = overload::NestedCalls::Possible;
    /** Number of earlier requests with the same request key. */
    int m_callerRepeats = 0;
    /** Charge for the request; refunded if the request does not run. */
    std::optional<sharedstate::Charge> m_charge;
    /** Head for the backend server, without the caller's key. */
    adapters::HttpRequestHead m_head;
    std::uint64_t m_maximumBodyBytes = 0;
    /** Key of a once-only request. */
    std::string m_idempotencyKey;
};

/** Refusal that is sent to the caller instead of a response of a backend server. */
struct RefusalReply
{
    int m_status = 503;
    /** True if the request is known not to have run. */
    bool m_notRun = true;
    std::string m_reason;
    std::chrono::milliseconds m_retryAfter{0};
};

} // namespace chervilmount::node
