#include "membership/detection/suspicion.h"

#include <algorithm>

namespace chervilmount::membership {

void addReport(Suspicion &suspicion, NodeKey observer, std::chrono::steady_clock::time_point now)
{
    for (ObserverReport &report : suspicion.m_reports) {
        if (report.m_observer == observer) {
            report.m_lastAt = now;
            return;
        }
    }
    suspicion.m_reports.push_back({observer, now, now});
}

void removeStaleReports(Suspicion &suspicion, const std::vector<NodeKey> &observers,
                        std::chrono::steady_clock::time_point now)
{
    std::erase_if(suspicion.m_reports, [&](const ObserverReport &report) {
        return now - report.m_lastAt >= ReportLifetime
                || !std::binary_search(observers.begin(), observers.end(), report.m_observer);
    });
}

bool isFailed(Suspicion &suspicion, const ObserverView &view, const MembershipSettings &settings,
              std::chrono::steady_clock::time_point now)
{
    const std::vector<ObserverReport> &reports = suspicion.m_reports;
    if (reports.size() < view.m_trustedObservers)
        suspicion.m_unanimousSince.reset();
    else if (!suspicion.m_unanimousSince)
        suspicion.m_unanimousSince = now;
    if (!view.m_hearsSomebody) {
        return suspicion.m_unanimousSince
                && now - *suspicion.m_unanimousSince >= settings.m_isolatedWait;
    }
    if (reports.size() >= std::min(settings.m_observersToFail, view.m_observers))
        return true;
    if (suspicion.m_unanimousSince
        && now - *suspicion.m_unanimousSince >= settings.m_agreementTime) {
        return true;
    }
    if (reports.size() < 2)
        return false;
    std::vector<std::chrono::steady_clock::time_point> times;
    for (const ObserverReport &report : reports)
        times.push_back(report.m_firstAt);
    std::nth_element(times.begin(), times.begin() + 1, times.end());
    return now - times[1] >= settings.m_agreementTime;
}

} // namespace chervilmount::membership
