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
 * What nodes tell each other for the admission of call trees: the use of backend servers, what runs
 * do, and what callers ask for. Within a region each node tells its own demand; to another region
 * one node of each tells the sum, since the link between regions is narrow and paid by volume.
 */
class LoadExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadExchange(const traffic::TreeAdmissionSettings &settings, LocalGate &gate);

    /** @returns the average time that runs of a route hold a slot, over all nodes; 0 if hardly any
     * run has been observed. */
    std::chrono::duration<double> expectedHold(const std::string &route) const;

    /** Decides on a request with these costs and counts it in the demand. */
    traffic::TreeDecision decide(const std::string &route,
                                 const std::vector<traffic::TreeCost> &costs, int level,
                                 TimePoint now);

    /** @returns what a request of the route needs besides its own run, and what its own run costs;
     * valid until the next update. */
    const std::vector<traffic::TreeCost> &costsOf(const traffic::PolicyIndex &policy,
                                                  const traffic::RoutePolicy &route,
                                                  const std::string &service);

    /** @returns the runs that one run of the route makes at each service by nested calls. */
    traffic::NestedRuns nestedRunsOf(const traffic::PolicyIndex &policy,
                                     const traffic::RoutePolicy &route) const;

    /** Renews the admission from what other nodes have told; to be called every 100 ms. */
    void update(const Mesh &mesh, const traffic::InstanceRegister &instances, TimePoint now);

    /** Fills in the demand for a receiver. */
    traffic::Demand demandFor(const NodeRecord &receiver, const Mesh &mesh, TimePoint now);

    const traffic::TreeAdmission &admission() const { return m_admission; }

private:
    void updateProfile(const Mesh &mesh, TimePoint now);
    traffic::Demand regionDemand(const Mesh &mesh, TimePoint now);
    static bool reportsForRegion(const Mesh &mesh, TimePoint now);

    LocalGate &m_gate;
    traffic::TreeAdmission m_admission;
    traffic::DemandMeter m_meter;
    /** Sum of what all nodes have observed. */
    traffic::CallProfile m_profile;
    TimePoint m_nextProfile;
    /** Costs by route and service of its own run. */
    std::unordered_map<std::string, std::vector<traffic::TreeCost>> m_costs;
};

} // namespace chervilmount::relay
