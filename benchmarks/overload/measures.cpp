#include "benchmarks/overload/measures.h"

#include <algorithm>
#include <array>

namespace chervilmount::scenarios {

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds Bucket{250};
/** Maximum time to success, including repeats, for a request to count towards recovery. */
constexpr std::chrono::seconds RecoveryTimeLimit{2};
constexpr double NormalShare = 0.99;
constexpr std::chrono::seconds NormalPeriodStart{5};
/** Period at the end of a run that is ignored because its requests may not have ended. */
constexpr std::chrono::seconds IgnoredTail{5};

struct Counter
{
    double m_offered = 0.0;
    double m_served = 0.0;
};

double share(const Counter &counter)
{
    return counter.m_offered > 0.0 ? counter.m_served / counter.m_offered : 1.0;
}

std::chrono::milliseconds recoveryTime(const Scenario &scenario,
                                       const std::vector<Original> &originals, Time runStart)
{
    std::vector<Counter> buckets(scenario.m_length / Bucket + 1);
    Counter normal;
    for (const Original &original : originals) {
        if (original.m_beyondRate)
            continue;
        const bool served = original.m_succeeded
                && original.m_succeededAt - original.m_arrivedAt <= RecoveryTimeLimit;
        const std::chrono::nanoseconds at = original.m_arrivedAt - runStart;
        Counter &bucket = buckets[at / Bucket];
        bucket.m_offered += 1.0;
        bucket.m_served += served ? 1.0 : 0.0;
        if (at >= NormalPeriodStart && at < faultsBegin(scenario)) {
            normal.m_offered += 1.0;
            normal.m_served += served ? 1.0 : 0.0;
        }
    }
    const std::chrono::milliseconds end = faultsEnd(scenario);
    std::chrono::milliseconds recovered{0};
    for (std::chrono::milliseconds at = end; at + Bucket <= scenario.m_length - IgnoredTail;
         at += Bucket) {
        if (share(buckets[at / Bucket]) < NormalShare * share(normal))
            recovered = at + Bucket - end;
    }
    return recovered;
}

bool beyondItsShare(const Scenario &scenario, int organisation)
{
    return std::any_of(
            scenario.m_faults.begin(), scenario.m_faults.end(), [organisation](const Fault &fault) {
                return fault.m_kind == FaultKind::OneOrganisation && fault.m_target == organisation;
            });
}

} // namespace

Measures measure(const Deployment &deployment, const Scenario &scenario,
                 const std::vector<Original> &originals, const RunTotals &totals, Time runStart)
{
    const Time from = runStart + faultsBegin(scenario);
    const Time to = runStart + faultsEnd(scenario);
    double completed = 0.0;
    Counter important;
    std::array<Counter, Organisations> organisations{};
    for (const Original &original : originals) {
        if (original.m_succeeded && original.m_succeededAt >= from && original.m_succeededAt < to)
            completed += 1.0;
        if (original.m_arrivedAt < from || original.m_arrivedAt >= to || original.m_beyondRate)
            continue;
        const double served = original.m_succeeded ? 1.0 : 0.0;
        Counter &organisation = organisations[original.m_organisation];
        organisation.m_offered += 1.0;
        organisation.m_served += served;
        if (deployment.m_kinds[original.m_kind].m_priority == 0
            && !beyondItsShare(scenario, original.m_organisation)) {
            important.m_offered += 1.0;
            important.m_served += served;
        }
    }
    Measures measures;
    const double seconds = std::chrono::duration<double>(to - from).count();
    measures.m_goodputShare = completed / seconds / scenario.m_possibleGoodput;
    measures.m_recovery = recoveryTime(scenario, originals, runStart);
    double worst = 1.0;
    double best = 0.0;
    for (int number = 0; number < Organisations; ++number) {
        if (beyondItsShare(scenario, number))
            continue;
        worst = std::min(worst, share(organisations[number]));
        best = std::max(best, share(organisations[number]));
    }
    measures.m_worstOverBest = best > 0.0 ? worst / best : 0.0;
    measures.m_wastedShare =
            totals.m_slotSeconds > 0.0 ? totals.m_wastedSlotSeconds / totals.m_slotSeconds : 0.0;
    measures.m_importantShare = share(important);
    measures.m_boundViolations = totals.m_boundViolations;
    measures.m_attemptsPerRequest = totals.m_requests > 0
            ? static_cast<double>(totals.m_attempts) / static_cast<double>(totals.m_requests)
            : 0.0;
    measures.m_events = totals.m_events;
    return measures;
}

} // namespace chervilmount::scenarios
