#pragma once

#include "relay/inbound/localgate.h"
#include "relay/link/mesh.h"
#include "traffic/policy/policyindex.h"
#include "traffic/retry/repeatbudget.h"
#include "traffic/treeadmission/treeadmission.h"

#include <chrono>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::relay {

/**
 * Combines the reports that nodes exchange for the admission of call trees: load of the backend
 * servers, observed call profiles and demand of callers. Within a region each node reports its own
 * demand. To other regions one node reports the region's sum, since the links between regions have
 * little bandwidth and are billed by volume.
 */
class LoadExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadExchange(const traffic::TreeAdmissionSettings &settings, LocalGate &gate);

    /** @returns the average time that a run of the route holds a slot, over all nodes; 0 if too few
     * runs have been observed. */
    std::chrono::duration<double> expectedHold(const std::string &route) const;

    /** Counts a request with these costs in the demand and decides whether it is admitted. */
    traffic::TreeDecision decide(const std::string &route,
                                 const std::vector<traffic::TreeCost> &costs, int level,
                                 TimePoint now);

    /** @returns the expected slot time at each service of a request of the route, for its own run
     * and its nested calls; valid until the next update. */
    const std::vector<traffic::TreeCost> &costsOf(const traffic::PolicyIndex &policy,
                                                  const traffic::RoutePolicy &route,
                                                  const std::string &service);

    /** @returns the expected number of runs at each service that one run of the route causes by
     * nested calls. */
    traffic::NestedRuns nestedRunsOf(const traffic::PolicyIndex &policy,
                                     const traffic::RoutePolicy &route) const;

    /** Updates the admitted shares from the reports of other nodes; to be called every 100 ms. */
    void update(const Mesh &mesh, const traffic::InstanceRegister &instances, TimePoint now);

    /** @returns the demand to report to a receiver; empty if another node reports to its region. */
    traffic::Demand demandFor(const NodeRecord &receiver, const Mesh &mesh, TimePoint now);

    const traffic::TreeAdmission &admission() const { return m_admission; }

private:
    void updateProfile(const Mesh &mesh, TimePoint now);
    traffic::Demand regionDemand(const Mesh &mesh, TimePoint now);
    static bool isRegionReporter(const Mesh &mesh, TimePoint now);

    LocalGate &m_gate;
    traffic::TreeAdmission m_admission;
    traffic::DemandMeter m_demandMeter;
    /** Sum of the profiles that all nodes have observed. */
    traffic::CallProfile m_profile;
    TimePoint m_nextProfile;
    /** Cache of costsOf(), by "route/service". */
    std::unordered_map<std::string, std::vector<traffic::TreeCost>> m_costs;
};

} // namespace chervilmount::relay
