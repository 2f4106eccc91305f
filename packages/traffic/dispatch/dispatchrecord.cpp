#include "traffic/dispatch/dispatchrecord.h"

#include <algorithm>

namespace chervilmount::traffic {

void recordDispatch(DispatchRecord &record)
{
    ++record.m_unresolved;
}

void recordNotRun(DispatchRecord &record)
{
    record.m_unresolved = std::max(0, record.m_unresolved - 1);
}

bool mayHaveRun(const DispatchRecord &record)
{
    return record.m_unresolved > 0;
}

bool statesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace chervilmount::traffic
