#include "traffic/treeadmission/treeadmission.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Longest step of the correction; a node that was paused must not act on one old value for long.
 */
constexpr double LongestStepSeconds = 0.3;
constexpr std::chrono::milliseconds LongestPause{1000};
/** Time in which the correction returns to 1 while nothing is shed. */
constexpr Seconds CorrectionFadeTime{10.0};
/** Time in which a correction is lowered that hides that load has to be shed. */
constexpr Seconds HiddenOverloadTime{0.5};
constexpr double UseAveragingSeconds = 0.5;
/** Time in which the calls of an admitted tree reach the service. */
constexpr double ArrivalSeconds = 0.5;
/** Use below which it says little about the costs. */
constexpr double LeastCountedUse = 0.05;
/** A queue of short runs makes the use large although it is served within moments. */
constexpr double LargestCountedUse = 1.5;
/** A small part of the least important requests is always tried, so that no kind starves. */
constexpr double SmallestShare = 0.02;
constexpr std::chrono::milliseconds ShortestRetryAfter{100};

/** Part of the target latency at which refused callers return, at the earliest and the latest. */
constexpr double EarliestReturn = 0.2;
constexpr double LatestReturn = 0.6;

double sumOf(const WorkByLevel &levels)
{
    double sum = 0;
    for (const double work : levels)
        sum += work;
    return sum;
}

void follow(double &average, double value, double step, double time)
{
    average += (value - average) * std::min(1.0, step / time);
}

/** Follows the runs that the admitted requests are expected to make at the service. */
void expectRuns(ServiceAdmission &state, const WorkByLevel &demand, double step)
{
    double admitted = 0;
    for (std::size_t level = 0; level < demand.size(); ++level)
        admitted += demand[level] * state.m_shares[level];
    follow(state.m_admittedRuns, admitted, step, ArrivalSeconds);
    follow(state.m_expectedRuns, state.m_admittedRuns, step, UseAveragingSeconds);
}

/** Corrects the costs by the quotient of expected and reported runs. */
void correct(ServiceAdmission &state, const TreeAdmissionSettings &settings, double slots,
             bool sheds, double step)
{
    const double runs = std::min(state.m_runs, LargestCountedUse * slots);
    const bool known = std::min(runs, state.m_expectedRuns) > LeastCountedUse * slots;
    // Hardly any runs say that requests fail on their way, not that they cost nothing.
    const double needed = known ? std::clamp(state.m_expectedRuns / runs,
                                             settings.m_leastCorrection, settings.m_mostCorrection)
                                : std::min(state.m_correction, 1.0);
    if (sheds) {
        const Seconds time =
                needed < state.m_correction ? settings.m_lowerTime : settings.m_raiseTime;
        follow(state.m_correction, needed, step, time.count());
        return;
    }
    // A correction that is too large hides that load has to be shed.
    const bool hides = std::max(needed, 1.0) < state.m_correction;
    const Seconds time = hides ? HiddenOverloadTime : CorrectionFadeTime;
    follow(state.m_correction, hides ? std::max(needed, 1.0) : 1.0, step, time.count());
}

std::size_t indexOf(int level)
{
    return static_cast<std::size_t>(std::clamp(level, 0, model::PriorityLevels - 1));
}

double shareOf(const TreeAdmission &admission, const std::string &service, int level)
{
    const auto found = admission.m_services.find(service);
    return found == admission.m_services.end() ? 1.0 : found->second.m_shares[indexOf(level)];
}

} // namespace

void updateAdmission(TreeAdmission &admission, const std::string &service, const ServiceLoad &load,
                     const WorkByLevel &demand, std::chrono::steady_clock::time_point now)
{
    const TreeAdmissionSettings &settings = admission.m_settings;
    ServiceAdmission &state = admission.m_services[service];
    // After a pause, or without slots, what was expected before says nothing.
    const bool isNew = now - state.m_updatedAt > LongestPause;
    const double step =
            std::clamp(Seconds(now - state.m_updatedAt).count(), 0.0, LongestStepSeconds);
    if (load.m_slots <= 0) {
        // Calls that cannot be placed are refused where they are placed.
        state = ServiceAdmission();
        return;
    }
    state.m_updatedAt = now;
    const double use = load.m_runs / load.m_slots;
    if (isNew) {
        state.m_use = use;
        state.m_runs = state.m_admittedRuns = state.m_expectedRuns = load.m_runs;
    }
    follow(state.m_use, use, step, UseAveragingSeconds);
    follow(state.m_runs, load.m_runs, step, UseAveragingSeconds);
    double budget = load.m_slots * settings.m_target * state.m_correction;
    correct(state, settings, load.m_slots, sumOf(demand) > budget, step);
    if (state.m_use > settings.m_overloaded)
        budget *= settings.m_overloaded / state.m_use;
    for (std::size_t level = 0; level < demand.size(); ++level) {
        const double share = demand[level] > 0 ? budget / demand[level] : (budget > 0 ? 1.0 : 0.0);
        state.m_shares[level] = std::clamp(share, SmallestShare, 1.0);
        budget = std::max(0.0, budget - demand[level]);
    }
    expectRuns(state, demand, step);
}

TreeDecision admitTree(TreeAdmission &admission, const std::string &route,
                       std::span<const TreeCost> costs, int level)
{
    TreeDecision decision;
    for (const auto &[service, cost] : costs) {
        const double share = shareOf(admission, service, level);
        if (share < decision.m_share) {
            decision.m_share = share;
            decision.m_service = service;
        }
    }
    if (decision.m_share >= 1.0)
        return decision;
    // Even thinning keeps the variance of the admitted load below that of random draws.
    constexpr double FirstCredit = 0.5;
    double &credit = admission.m_credits
                             .try_emplace(route + '/' + std::to_string(indexOf(level)), FirstCredit)
                             .first->second;
    credit += decision.m_share;
    decision.m_admitted = credit >= 1.0;
    if (decision.m_admitted) {
        credit -= 1.0;
        decision.m_service.clear();
    }
    return decision;
}

void recordTree(DemandMeter &meter, const TreeAdmission &admission, std::span<const TreeCost> costs,
                int level, std::chrono::steady_clock::time_point now)
{
    for (const auto &[service, cost] : costs) {
        double others = 1.0;
        for (const auto &[other, otherCost] : costs) {
            if (other != service)
                others = std::min(others, shareOf(admission, other, level));
        }
        recordWork(meter, service, level, cost * others, now);
    }
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
