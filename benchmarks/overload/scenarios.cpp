#include "benchmarks/overload/scenarios.h"

#include <algorithm>
#include <stdexcept>

namespace chervilmount::scenarios {

namespace {

using std::chrono::seconds;

constexpr seconds From{15};
constexpr seconds To{45};

Scenario scenarioOf(const std::string &name, std::vector<Fault> faults, double possibleGoodput)
{
    Scenario scenario;
    scenario.m_name = name;
    scenario.m_faults = std::move(faults);
    scenario.m_possibleGoodput = possibleGoodput;
    return scenario;
}

} // namespace

std::vector<Scenario> allScenarios(const Deployment &deployment)
{
    const int deep = deployment.m_bottleneck;
    const double capacity = bottleneckCapacity(deployment);
    const double normal = deployment.m_normalDemand;
    const double tripled = 3.0 * capacity / normal;
    const Fault slow{FaultKind::Slow, From, To, 10.0, deep, 0};
    const Fault demand{FaultKind::Demand, From, To, tripled, 0, 0};
    std::vector<Scenario> all{
            scenarioOf("deep service slow", {slow}, capacity / 10),
            scenarioOf("deep service contended", {{FaultKind::Contended, From, To, 10.0, deep, 0}},
                       capacity / 10),
            scenarioOf("demand x3", {demand}, capacity),
            scenarioOf("callers repeat at once", {demand}, capacity),
            scenarioOf("slow, callers repeat at once", {slow}, capacity / 10),
            scenarioOf("one organisation x5", {{FaultKind::OneOrganisation, From, To, 5.0, 2, 0}},
                       std::min(capacity, normal * (1.0 + 4.0 * DemandShares[2]))),
            scenarioOf("one organisation x5, rates",
                       {{FaultKind::OneOrganisation, From, To, 5.0, 2, 0}}, normal),
            scenarioOf("failure domain lost", {{FaultKind::DomainLost, From, To, 1.0, 0, 1}},
                       normal),
            scenarioOf("backend server hangs", {{FaultKind::Hang, From, To, 1.0, deep, 1}}, normal),
            scenarioOf("backend server refuses fast",
                       {{FaultKind::RefuseFast, From, To, 1.0, deep, 1}}, normal),
            scenarioOf("all cold", {{FaultKind::AllCold, From, seconds{17}, 1.0, 0, 0}}, normal),
            scenarioOf("domain lost while slow",
                       {{FaultKind::DomainLost, From, To, 1.0, 0, 1}, slow}, 0.75 * capacity / 10),
            scenarioOf("slow twice",
                       {{FaultKind::Slow, From, seconds{25}, 10.0, deep, 0},
                        {FaultKind::Slow, seconds{30}, seconds{40}, 10.0, deep, 0}},
                       0.0)};
    for (Scenario &scenario : all)
        scenario.m_repeatsAtOnce = scenario.m_name.ends_with("repeat at once");
    for (Scenario &scenario : all) {
        if (scenario.m_repeatsAtOnce)
            scenario.m_repeats = 5;
        if (scenario.m_name == "one organisation x5, rates")
            scenario.m_rateFactor = 1.2;
    }
    // A tenth of the capacity for two thirds of the time, normal demand for one third.
    all.back().m_possibleGoodput = (20.0 * capacity / 10 + 5.0 * normal) / 25.0;
    return all;
}

Scenario scenarioNamed(const Deployment &deployment, const std::string &name)
{
    for (const Scenario &scenario : allScenarios(deployment)) {
        if (scenario.m_name == name)
            return scenario;
    }
    throw std::invalid_argument("unknown scenario " + name);
}

seconds faultsBegin(const Scenario &scenario)
{
    seconds begin = scenario.m_length;
    for (const Fault &fault : scenario.m_faults)
        begin = std::min(begin, fault.m_from);
    return begin;
}

seconds faultsEnd(const Scenario &scenario)
{
    seconds end{0};
    for (const Fault &fault : scenario.m_faults)
        end = std::max(end, fault.m_to);
    return end;
}

} // namespace chervilmount::scenarios
