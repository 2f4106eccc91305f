#pragma once

#include "benchmarks/overload/deployment.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::scenarios {

enum class FaultKind {
    /** Each call of the service takes longer by the factor, whatever the concurrency. */
    Slow,
    /** The service can do fewer calls at once by the factor; more calls share its time. */
    Contended,
    /** Demand of all organisations is multiplied. */
    Demand,
    /** Demand of one organisation is multiplied. */
    OneOrganisation,
    /** Nodes and backend servers of a failure domain are gone. */
    DomainLost,
    /** A backend server accepts calls and never ends them. */
    Hang,
    /** A backend server refuses each call after 1 ms. */
    RefuseFast,
    /** All backend servers and nodes start anew at the beginning of the fault. */
    AllCold
};

/** One fault; from and to are counted from the start of the run. */
struct Fault
{
    FaultKind m_kind = FaultKind::Slow;
    std::chrono::seconds m_from{0};
    std::chrono::seconds m_to{0};
    double m_factor = 1.0;
    /** Service for Slow, Contended, Hang and RefuseFast; organisation for OneOrganisation. */
    int m_target = 0;
    /** Failure domain for DomainLost, Hang and RefuseFast. */
    int m_domain = 0;
};

struct Scenario
{
    std::string m_name;
    std::vector<Fault> m_faults;
    /** Repeats of a caller after a failure; 0 delay means at once. */
    int m_repeats = 2;
    bool m_repeatsAtOnce = false;
    /** Rate enforcement at the entry with this multiple of the normal demand; 0 is off. */
    double m_rateFactor = 0.0;
    std::chrono::seconds m_length{60};
    /** Goodput that can be expected during the faults, in requests a second. */
    double m_possibleGoodput = 0.0;
};

/** Faults run from 15 s to 45 s unless the scenario says otherwise. */
std::vector<Scenario> allScenarios(const Deployment &deployment);

/** @returns the scenario of this name; throws std::invalid_argument if there is none. */
Scenario scenarioNamed(const Deployment &deployment, const std::string &name);

/** @returns when the first fault begins and the last one ends. */
std::chrono::seconds faultsBegin(const Scenario &scenario);
std::chrono::seconds faultsEnd(const Scenario &scenario);

} // namespace chervilmount::scenarios
