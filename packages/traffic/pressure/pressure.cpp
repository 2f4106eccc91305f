#include "traffic/pressure/pressure.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Longest step of the integral; a node that was paused must not act on one old value for long. */
constexpr double LongestStepSeconds = 0.3;
/** A small part of the least important requests is always tried, so that no kind starves. */
constexpr double SmallestShare = 0.03;
constexpr std::chrono::milliseconds ShortestRetryAfter{100};

/** Part of the target latency at which refused callers return, at the earliest and the latest. */
constexpr double EarliestReturn = 0.2;
constexpr double LatestReturn = 0.6;

} // namespace

void updatePressure(Pressure &pressure, const std::string &service, const ServiceLoad &load,
                    std::chrono::steady_clock::time_point now)
{
    ServicePressure &state = pressure.m_services[service];
    const double step = std::clamp(Seconds(now - state.m_updatedAt).count(), 0.0,
                                   LongestStepSeconds);
    state.m_updatedAt = now;
    // Without a report nothing is known against the service; calls that cannot be placed are
    // refused where they are placed.
    state.m_use = load.m_slots > 0 ? load.m_runs / load.m_slots : 0.0;
    const double deviation = state.m_use - pressure.m_settings.m_target;
    const double most = pressure.m_lowestPriority + 1.0;
    double integral = state.m_integral + pressure.m_settings.m_integral * deviation * step;
    if (state.m_use > pressure.m_settings.m_overloaded)
        integral += pressure.m_settings.m_rise;
    state.m_integral = std::clamp(integral, 0.0, most);
    const double proportional = pressure.m_settings.m_proportional * std::max(0.0, deviation);
    state.m_shed = std::clamp(state.m_integral + proportional, 0.0, most);
}

TreeDecision admitTree(Pressure &pressure, std::span<const std::string> services, int priority,
                       double draw)
{
    pressure.m_lowestPriority = std::max(pressure.m_lowestPriority, priority);
    TreeDecision decision;
    for (const std::string &service : services) {
        const auto found = pressure.m_services.find(service);
        if (found == pressure.m_services.end())
            continue;
        const double lessImportant = pressure.m_lowestPriority - priority;
        const double share =
                std::clamp(1.0 - (found->second.m_shed - lessImportant), SmallestShare, 1.0);
        if (share < decision.m_share) {
            decision.m_share = share;
            decision.m_service = service;
        }
    }
    decision.m_admitted = draw < decision.m_share;
    if (decision.m_admitted)
        decision.m_service.clear();
    return decision;
}

std::chrono::milliseconds retryAfter(std::chrono::milliseconds targetLatency, double share,
                                     std::mt19937_64 &random)
{
    // The less is admitted, the longer the shortage is expected to last.
    const double stretch = 1.0 + (1.0 - share);
    std::uniform_real_distribution<double> spread(EarliestReturn, LatestReturn);
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(targetLatency.count()) * spread(random) * stretch));
    return std::max(ShortestRetryAfter, delay);
}

} // namespace chervilmount::traffic
