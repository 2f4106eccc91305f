#include "standins/caller/report.h"

namespace chervilmount::standins {

namespace {

constexpr std::chrono::milliseconds WindowStep{100};

/** Number of outcomes of each kind for one idempotency key, as seen by the caller. */
struct OnceOnlyOutcomes
{
    int m_succeeded = 0;
    int m_notRun = 0;
    int m_unknown = 0;
};

void checkOnceOnly(const Records &records, const ObservedExecutions &executions,
                   std::vector<std::string> &violations)
{
    std::map<std::string, OnceOnlyOutcomes> outcomes;
    for (const Record &record : records) {
        if (record.m_idempotencyKey.empty())
            continue;
        OnceOnlyOutcomes &outcome = outcomes[record.m_idempotencyKey];
        outcome.m_succeeded += record.m_outcome == Outcome::Succeeded ? 1 : 0;
        outcome.m_notRun += record.m_outcome == Outcome::NotRun ? 1 : 0;
        outcome.m_unknown += record.m_outcome == Outcome::Unknown ? 1 : 0;
    }
    for (const std::pair<const std::string, OnceOnlyOutcomes> &entry : outcomes) {
        const std::map<std::string, int>::const_iterator run = executions.m_runs.find(entry.first);
        const int runs = run == executions.m_runs.end() ? 0 : run->second;
        if (runs > 1)
            violations.push_back("once-only request " + entry.first + " ran " + std::to_string(runs)
                                 + " times");
        if (entry.second.m_succeeded > 0 && runs == 0)
            violations.push_back("once-only request " + entry.first + " succeeded without a run");
        if (entry.second.m_succeeded + entry.second.m_unknown == 0 && runs > 0)
            violations.push_back("once-only request " + entry.first
                                 + " ran but was refused as not run");
    }
}

std::size_t stepOf(std::chrono::steady_clock::duration elapsed)
{
    return static_cast<std::size_t>(elapsed / WindowStep);
}

/**
 * A request is admitted between its sending and its end. If more requests than burst + rate *
 * window were sent and ended within a window, the limit was exceeded in it, independently of
 * delays.
 */
void checkRate(const Scenario &scenario, const Records &records, const OrganisationLimit &limit,
               std::vector<std::string> &violations)
{
    std::vector<std::pair<std::size_t, std::size_t>> intervals;
    std::size_t lastStep = 0;
    for (const Record &record : records) {
        if (scenario.m_flows[record.m_flow].m_organisation != limit.m_organisation
            || record.m_outcome != Outcome::Succeeded)
            continue;
        const std::size_t end = stepOf(record.m_ended - records.front().m_sent);
        intervals.emplace_back(stepOf(record.m_sent - records.front().m_sent), end);
        lastStep = std::max(lastStep, end);
    }
    const double stepSeconds = std::chrono::duration<double>(WindowStep).count();
    for (std::size_t begin = 0; begin <= lastStep; ++begin) {
        std::vector<std::size_t> endings(lastStep + 1, 0);
        for (const std::pair<std::size_t, std::size_t> &interval : intervals) {
            if (interval.first >= begin)
                ++endings[interval.second];
        }
        std::size_t admitted = 0;
        for (std::size_t end = begin; end <= lastStep; ++end) {
            admitted += endings[end];
            const double seconds = static_cast<double>(end - begin + 1) * stepSeconds;
            if (static_cast<double>(admitted) > limit.m_burst + limit.m_rate * seconds) {
                violations.push_back("organisation " + limit.m_organisation + " had "
                                     + std::to_string(admitted) + " requests admitted in "
                                     + std::to_string(seconds) + " s");
                return;
            }
        }
    }
}

} // namespace

std::vector<std::string> findViolations(const Scenario &scenario, const Records &records,
                                        const ObservedExecutions &executions)
{
    std::vector<std::string> violations;
    for (const Record &record : records) {
        if (record.m_outcome == Outcome::WrongResponse)
            violations.push_back("a caller received a response that is not whole or not its own");
    }
    checkOnceOnly(records, executions, violations);
    if (!records.empty()) {
        for (const OrganisationLimit &limit : scenario.m_limits)
            checkRate(scenario, records, limit, violations);
    }
    if (executions.m_keysSeen > 0)
        violations.push_back("backend servers saw " + std::to_string(executions.m_keysSeen)
                             + " keys of callers");
    return violations;
}

} // namespace chervilmount::standins
