#include "node/inbound/incomingcall.h"

namespace chervilmount::node {

void beginNestedCall(IncomingCall &call, std::chrono::steady_clock::time_point now)
{
    if (call.m_nestedActive++ == 0)
        call.m_nestedStartedAt = now;
}

void endNestedCall(IncomingCall &call, std::chrono::steady_clock::time_point now)
{
    if (--call.m_nestedActive == 0)
        call.m_nestedTime += now - call.m_nestedStartedAt;
}

} // namespace chervilmount::node
