#include "relay/frames/frames.h"

namespace chervilmount::relay {

bool isNewer(const NodeRecord &record, const NodeRecord &than)
{
    if (record.m_startedAt != than.m_startedAt)
        return record.m_startedAt > than.m_startedAt;
    return record.m_version > than.m_version;
}

const char *nameOf(FailureReason reason)
{
    switch (reason) {
    case FailureReason::Overloaded:
        return "overloaded";
    case FailureReason::Unavailable:
        return "unavailable";
    case FailureReason::ServerRefused:
        return "server-refused";
    case FailureReason::Broken:
        return "broken";
    case FailureReason::Timeout:
        return "timeout";
    case FailureReason::LinkLost:
        break;
    }
    return "link-lost";
}

} // namespace chervilmount::relay
