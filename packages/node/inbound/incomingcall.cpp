#include "node/inbound/incomingcall.h"

namespace chervilmount::node {

void beginNested(IncomingCall &call, std::chrono::steady_clock::time_point now)
{
    if (call.m_nestedActive++ == 0)
        call.m_nestedSince = now;
}

void endNested(IncomingCall &call, std::chrono::steady_clock::time_point now)
{
    if (--call.m_nestedActive == 0)
        call.m_nestedTime += now - call.m_nestedSince;
}

} // namespace chervilmount::node
