// Checks "important last" (section 7 of the design): in no interval of 1 s is a more important
// request of an organisation within its rate shed while less important requests to the same service
// are admitted. The tolerance is 1 % of the organisation's requests in the interval.
#include "benchmarks/overload/simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <tuple>

using namespace chervilmount::scenarios;

namespace {

struct Counts
{
    int m_requests = 0;
    int m_shedWithinRate = 0;
    int m_admitted = 0;
};

/** Key: interval, service, organisation, priority. */
using Table = std::map<std::tuple<long, int, int, int>, Counts>;

Table countRequests(const std::vector<RequestRecord> &records)
{
    Table table;
    for (const RequestRecord &record : records) {
        if (!record.m_ended)
            continue;
        const long interval = (record.m_at - RunStart) / std::chrono::seconds{1};
        Counts &counts =
                table[{interval, record.m_service, record.m_organisation, record.m_priority}];
        ++counts.m_requests;
        counts.m_admitted += record.m_succeeded ? 1 : 0;
        counts.m_shedWithinRate += !record.m_succeeded && record.m_overUseLevel == 0 ? 1 : 0;
    }
    return table;
}

/** Number of intervals of organisations that violate the rule, and of those that could. */
struct Verdict
{
    int m_broken = 0;
    int m_examined = 0;
};

Verdict checkImportantLast(const std::vector<RequestRecord> &records)
{
    const Table table = countRequests(records);
    std::map<std::tuple<long, int>, std::map<int, int>> admittedByPriority;
    std::map<std::tuple<long, int>, int> requestsOfOrganisation;
    for (const std::pair<const std::tuple<long, int, int, int>, Counts> &entry : table) {
        const auto [interval, service, organisation, priority] = entry.first;
        admittedByPriority[{interval, service}][priority] += entry.second.m_admitted;
        requestsOfOrganisation[{interval, organisation}] += entry.second.m_requests;
    }
    Verdict verdict;
    for (const std::pair<const std::tuple<long, int, int, int>, Counts> &entry : table) {
        const auto [interval, service, organisation, priority] = entry.first;
        int lessImportant = 0;
        for (const std::pair<const int, int> &admitted : admittedByPriority[{interval, service}])
            lessImportant += admitted.first > priority ? admitted.second : 0;
        if (lessImportant == 0)
            continue;
        ++verdict.m_examined;
        const double tolerated = 0.01 * requestsOfOrganisation[{interval, organisation}];
        // A single request is more than 1 % of fewer than a hundred.
        if (entry.second.m_shedWithinRate > std::max(tolerated, 1.0))
            ++verdict.m_broken;
    }
    return verdict;
}

Scenario demandTimes(double factor)
{
    const Deployment deployment = addis();
    Scenario scenario = scenarioNamed(deployment, "demand x3");
    scenario.m_faults[0].m_factor =
            factor * bottleneckCapacity(deployment) / deployment.m_normalDemand;
    return scenario;
}

Verdict runWith(const Scenario &scenario, const std::string &variant)
{
    std::vector<RequestRecord> records;
    runScenario(addis(), scenario, variantNamed(variant), 1, &records);
    return checkImportantLast(records);
}

} // namespace

// Guards against shedding important requests while less important ones run. At 1.5 and 2 times the
// capacity the requests of priority 0 and 2 fit into the capacity, and those of priority 5 do not.
TEST_CASE("Important requests are shed last at 1.5 times the capacity")
{
    const Verdict verdict = runWith(demandTimes(1.5), "chervilmount");
    CHECK(verdict.m_examined > 100);
    CHECK(verdict.m_broken == 0);
}

TEST_CASE("Important requests are shed last at 2 times the capacity")
{
    const Verdict verdict = runWith(demandTimes(2.0), "chervilmount");
    CHECK(verdict.m_examined > 100);
    CHECK(verdict.m_broken == 0);
}

// Guards against a checker that cannot fail.
TEST_CASE("The checker of important last detects a queue without priorities")
{
    CHECK(runWith(demandTimes(2.0), "no priorities").m_broken > 0);
}
