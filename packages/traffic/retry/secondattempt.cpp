#include "traffic/retry/secondattempt.h"

namespace chervilmount::traffic {

bool isDoubtful(const SecondAttemptSettings &settings, const RunningAttempt &attempt)
{
    if (!settings.m_enabled)
        return false;
    if (attempt.m_isSilent)
        return true;
    const bool isSlow = attempt.m_relativeHold >= settings.m_slowHold
            && attempt.m_otherRelativeHold <= attempt.m_relativeHold * settings.m_fasterHold;
    return isSlow && attempt.m_expectedHold.count() > 0
            && attempt.m_age >= attempt.m_expectedHold * settings.m_slowAge;
}

} // namespace chervilmount::traffic
