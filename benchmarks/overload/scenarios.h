#pragma once

#include "benchmarks/overload/deployment.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::scenarios {

enum class FaultKind {
    /** Service times are multiplied by the factor, independently of concurrency. */
    Slow,
    /** The concurrency capacity of the service is reduced by the factor; more calls share it. */
    Contended,
    /** Demand of all organisations is multiplied. */
    Demand,
    /** Demand of one organisation is multiplied. */
    OneOrganisation,
    /** All nodes and backend servers of a failure domain fail. */
    DomainLost,
    /** A backend server accepts calls and never ends them. */
    Hang,
    /** A backend server refuses each call after 1 ms. */
    RefuseFast,
    /** All backend servers and nodes restart at the beginning of the fault. */
    AllCold
};

/** One fault; times are relative to the start of the run. */
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
    /** Maximum number of repeats by a caller after a failure. */
    int m_repeats = 2;
    bool m_repeatsAtOnce = false;
    /** Rate enforcement at the entry with this multiple of the normal demand; 0 is off. */
    double m_rateFactor = 0.0;
    std::chrono::seconds m_length{60};
    /** Possible goodput during the faults, in requests per second. */
    double m_possibleGoodput = 0.0;
};

/** Faults run from 15 s to 45 s unless the scenario says otherwise. */
std::vector<Scenario> allScenarios(const Deployment &deployment);

/** @returns the scenario of this name; throws std::invalid_argument if there is none. */
Scenario scenarioNamed(const Deployment &deployment, const std::string &name);

/** @returns the start of the first fault and the end of the last one. */
std::chrono::seconds faultsBegin(const Scenario &scenario);
std::chrono::seconds faultsEnd(const Scenario &scenario);

} // namespace chervilmount::scenarios
