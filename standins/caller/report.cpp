#include "standins/caller/report.h"

#include <algorithm>
#include <cstdio>

namespace chervilmount::standins {

namespace {

/** Totals of one organisation; retries of the caller do not count as demand. */
struct OrganisationTotals
{
    std::size_t m_demand = 0;
    std::size_t m_succeeded = 0;
    std::size_t m_refused = 0;

    double successRatio() const
    {
        return m_demand == 0 ? 1.0
                             : static_cast<double>(m_succeeded) / static_cast<double>(m_demand);
    }
};

using TotalsByOrganisation = std::map<std::string, OrganisationTotals>;

TotalsByOrganisation sumByOrganisation(const Scenario &scenario, const Records &records)
{
    TotalsByOrganisation totals;
    for (const Record &record : records) {
        OrganisationTotals &sum = totals[scenario.m_flows[record.m_flow].m_organisation];
        sum.m_demand += record.m_isRetry ? 0 : 1;
        sum.m_succeeded += record.m_outcome == Outcome::Succeeded ? 1 : 0;
        sum.m_refused += record.m_outcome == Outcome::NotRun ? 1 : 0;
    }
    return totals;
}

double latencyPercentile(const Records &records, double fraction)
{
    std::vector<double> latencies;
    for (const Record &record : records) {
        if (record.m_outcome == Outcome::Succeeded)
            latencies.push_back(
                    std::chrono::duration<double, std::milli>(record.m_ended - record.m_sent)
                            .count());
    }
    if (latencies.empty())
        return 0.0;
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(fraction
                                              * static_cast<double>(latencies.size() - 1))];
}

/** Organisations whose demand exceeds their rate at any time are excluded from worst served. */
bool isWithinRate(const Scenario &scenario, const std::string &organisation)
{
    double peak = 0.0;
    for (const Flow &flow : scenario.m_flows) {
        if (flow.m_organisation == organisation)
            peak += flow.m_requestsPerSecond * std::max(1.0, flow.m_surgeFactor);
    }
    for (const OrganisationLimit &limit : scenario.m_limits) {
        if (limit.m_organisation == organisation)
            return peak <= limit.m_rate;
    }
    return true;
}

void printRefusals(const Records &records)
{
    std::map<std::string, std::size_t> reasons;
    for (const Record &record : records) {
        if (record.m_outcome != Outcome::Succeeded)
            ++reasons[(record.m_outcome == Outcome::NotRun ? "not-run " : "unknown ")
                      + std::to_string(record.m_status) + " " + record.m_reason];
    }
    for (const std::pair<const std::string, std::size_t> &reason : reasons)
        std::printf("  %-56s %8zu\n", reason.first.c_str(), reason.second);
}

} // namespace

void printReport(const Scenario &scenario, const Records &records,
                 const std::vector<std::string> &violations)
{
    const TotalsByOrganisation totals = sumByOrganisation(scenario, records);
    std::size_t succeeded = 0;
    std::size_t refused = 0;
    std::string worst = "none";
    double worstRatio = 2.0;
    std::printf("%-28s %10s %10s %10s %8s\n", "organisation", "demand", "succeeded", "not run",
                "ratio");
    for (const TotalsByOrganisation::value_type &entry : totals) {
        const OrganisationTotals &sum = entry.second;
        std::printf("%-28s %10zu %10zu %10zu %8.3f\n", entry.first.c_str(), sum.m_demand,
                    sum.m_succeeded, sum.m_refused, sum.successRatio());
        succeeded += sum.m_succeeded;
        refused += sum.m_refused;
        if (isWithinRate(scenario, entry.first) && sum.successRatio() < worstRatio) {
            worst = entry.first;
            worstRatio = sum.successRatio();
        }
    }
    std::printf("requests without a whole response, by reason:\n");
    printRefusals(records);
    std::printf("latency of whole responses in ms: p50 %.1f, p90 %.1f, p99 %.1f, maximum %.1f\n",
                latencyPercentile(records, 0.5), latencyPercentile(records, 0.9),
                latencyPercentile(records, 0.99), latencyPercentile(records, 1.0));
    for (const std::string &violation : violations)
        std::printf("violation: %s\n", violation.c_str());
    const double seconds = std::chrono::duration<double>(scenario.m_duration).count();
    std::printf("demo: goodput=%.1f/s p99_ms=%.1f refused=%zu worst_organisation=%s:%.3f "
                "violations=%zu\n",
                static_cast<double>(succeeded) / seconds, latencyPercentile(records, 0.99), refused,
                worst.c_str(), std::min(worstRatio, 1.0), violations.size());
}

} // namespace chervilmount::standins
