#include "traffic/treeadmission/treeadmission.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Maximum time step of the correction, so that a node that was paused does not give too much
 * weight to a single old value. */
constexpr double MaximumStepSeconds = 0.3;
constexpr std::chrono::milliseconds MaximumPause{1000};
/** Time constant with which the correction returns to 1 while no load is shed. */
constexpr Seconds CorrectionFadeTime{10.0};
/** Time constant with which a correction that is too large is lowered while no load is shed. */
constexpr Seconds ExcessCorrectionTime{0.5};
constexpr double UseAveragingSeconds = 0.5;
/** Time constant of the delay until the calls of an admitted tree reach the service. */
constexpr double ArrivalSeconds = 0.5;
/** Utilisation below which the correction is not estimated. */
constexpr double MinimumCountedUse = 0.05;
/** Maximum utilisation that is taken into account; a queue of short runs raises the utilisation
 * although it is drained quickly. */
constexpr double MaximumCountedUse = 1.5;
/** Minimum admitted share, so that no kind of request is starved. */
constexpr double MinimumAdmittedShare = 0.02;

double sumOf(const WorkByLevel &levels)
{
    double sum = 0;
    for (const double work : levels)
        sum += work;
    return sum;
}

void updateAverage(double &average, double value, double step, double time)
{
    average += (value - average) * std::min(1.0, step / time);
}

/** Updates the number of runs that admitted requests are expected to cause at the service. */
void updateExpectedRuns(ServiceAdmission &state, const WorkByLevel &demand, double step)
{
    double admitted = 0;
    for (std::size_t level = 0; level < demand.size(); ++level)
        admitted += demand[level] * state.m_shares[level];
    updateAverage(state.m_admittedRuns, admitted, step, ArrivalSeconds);
    updateAverage(state.m_expectedRuns, state.m_admittedRuns, step, UseAveragingSeconds);
}

/** Updates the cost correction from the ratio of expected to reported runs. */
void updateCorrection(ServiceAdmission &state, const TreeAdmissionSettings &settings, double slots,
                      bool sheds, double step)
{
    const double runs = std::min(state.m_runs, MaximumCountedUse * slots);
    const bool known = std::min(runs, state.m_expectedRuns) > MinimumCountedUse * slots;
    // A low number of runs means that requests fail before they reach the service, not that they
    // cost nothing.
    const double needed = known
            ? std::clamp(state.m_expectedRuns / runs, settings.m_minimumCorrection,
                         settings.m_maximumCorrection)
            : std::min(state.m_correction, 1.0);
    if (sheds) {
        const Seconds time =
                needed < state.m_correction ? settings.m_lowerTime : settings.m_raiseTime;
        updateAverage(state.m_correction, needed, step, time.count());
        return;
    }
    // A correction that is too large admits too much, so that no need to shed load is detected.
    const bool tooLarge = std::max(needed, 1.0) < state.m_correction;
    const Seconds time = tooLarge ? ExcessCorrectionTime : CorrectionFadeTime;
    updateAverage(state.m_correction, tooLarge ? std::max(needed, 1.0) : 1.0, step, time.count());
}

std::size_t indexOf(int level)
{
    return static_cast<std::size_t>(std::clamp(level, 0, model::PriorityLevels - 1));
}

double admittedShare(const TreeAdmission &admission, const std::string &service, int level)
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
    // After a pause, or without slots, the previous averages are outdated.
    const bool isNew = now - state.m_updatedAt > MaximumPause;
    const double step =
            std::clamp(Seconds(now - state.m_updatedAt).count(), 0.0, MaximumStepSeconds);
    if (load.m_slots <= 0) {
        // Calls without a target are refused at placement, not here.
        state = ServiceAdmission();
        return;
    }
    state.m_updatedAt = now;
    const double use = load.m_runs / load.m_slots;
    if (isNew) {
        state.m_use = use;
        state.m_runs = state.m_admittedRuns = state.m_expectedRuns = load.m_runs;
    }
    updateAverage(state.m_use, use, step, UseAveragingSeconds);
    updateAverage(state.m_runs, load.m_runs, step, UseAveragingSeconds);
    double budget = load.m_slots * settings.m_target * state.m_correction;
    if (settings.m_correctsCosts)
        updateCorrection(state, settings, load.m_slots, sumOf(demand) > budget, step);
    if (state.m_use > settings.m_overloadUtilisation)
        budget *= settings.m_overloadUtilisation / state.m_use;
    for (std::size_t level = 0; level < demand.size(); ++level) {
        const double share = demand[level] > 0 ? budget / demand[level] : (budget > 0 ? 1.0 : 0.0);
        state.m_shares[level] = std::clamp(share, MinimumAdmittedShare, 1.0);
        budget = std::max(0.0, budget - demand[level]);
    }
    updateExpectedRuns(state, demand, step);
}

TreeDecision admitTree(TreeAdmission &admission, const std::string &route,
                       std::span<const TreeCost> costs, int level)
{
    TreeDecision decision;
    if (!admission.m_settings.m_enabled)
        return decision;
    for (const auto &[service, cost] : costs) {
        const double share = admittedShare(admission, service, level);
        if (share < decision.m_share) {
            decision.m_share = share;
            decision.m_service = service;
        }
    }
    if (decision.m_share >= 1.0)
        return decision;
    if (!admission.m_settings.m_thinsEvenly) {
        decision.m_admitted =
                std::uniform_real_distribution<double>()(admission.m_random) < decision.m_share;
        return decision;
    }
    // Deterministic thinning gives a lower variance of the admitted load than random admission.
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
                others = std::min(others, admittedShare(admission, other, level));
        }
        recordWork(meter, service, level, cost * others, now);
    }
}

std::chrono::milliseconds retryAfter(const RetryAfterSettings &settings,
                                     std::chrono::milliseconds targetLatency, double share,
                                     std::mt19937_64 &random)
{
    // The lower the admitted share, the longer the overload is expected to last.
    const double stretch = 1.0 + (1.0 - share);
    std::uniform_real_distribution<double> spread(settings.m_minimumShare, settings.m_maximumShare);
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(targetLatency.count()) * spread(random) * stretch));
    return std::max(settings.m_minimum, delay);
}

} // namespace chervilmount::traffic
