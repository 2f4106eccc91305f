#include "relay/control/loadexchange.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

namespace {

constexpr std::chrono::milliseconds ProfileInterval{500};

} // namespace

LoadExchange::LoadExchange(const traffic::TreeAdmissionSettings &settings, LocalGate &gate)
    : m_gate(gate)
{
    m_admission.m_settings = settings;
}

traffic::TreeDecision LoadExchange::decide(const std::string &route,
                                           const std::vector<traffic::TreeCost> &costs, int level,
                                           TimePoint now)
{
    traffic::recordTree(m_demandMeter, m_admission, costs, level, now);
    return traffic::admitTree(m_admission, route, costs, level);
}

std::chrono::duration<double> LoadExchange::expectedHold(const std::string &route) const
{
    constexpr double FewRuns = 10.0;
    const auto found = m_profile.find(route);
    if (found == m_profile.end() || found->second.m_runs < FewRuns)
        return {};
    return std::chrono::duration<double>(found->second.m_activeSeconds / found->second.m_runs);
}

const std::vector<traffic::TreeCost> &LoadExchange::costsOf(const traffic::PolicyIndex &policy,
                                                            const traffic::RoutePolicy &route,
                                                            const std::string &service)
{
    const auto [entry, isNew] = m_costs.try_emplace(route.m_name + '/' + service);
    if (!isNew)
        return entry->second;
    std::unordered_map<std::string, double> costs;
    for (const auto &[name, expected] : traffic::expectedRuns(m_profile, route.m_name)) {
        if (name == route.m_name) {
            costs[service] += expected.m_slotSeconds;
            continue;
        }
        const traffic::RoutePolicy *needed = policy.routeNamed(name);
        if (needed == nullptr)
            continue;
        double weights = 0;
        for (const traffic::SplitPart &part : needed->m_parts)
            weights += part.m_weight;
        for (const traffic::SplitPart &part : needed->m_parts) {
            if (part.m_weight > 0)
                costs[part.m_service] += expected.m_slotSeconds * part.m_weight / weights;
        }
    }
    entry->second.assign(costs.begin(), costs.end());
    return entry->second;
}

traffic::NestedRuns LoadExchange::nestedRunsOf(const traffic::PolicyIndex &policy,
                                               const traffic::RoutePolicy &route) const
{
    traffic::NestedRuns result;
    for (const auto &[name, expected] : traffic::expectedRuns(m_profile, route.m_name)) {
        const traffic::RoutePolicy *nested =
                name == route.m_name ? nullptr : policy.routeNamed(name);
        if (nested != nullptr)
            result[nested->m_parts.front().m_service] += expected.m_runs;
    }
    return result;
}

void LoadExchange::update(const Mesh &mesh, const traffic::InstanceRegister &instances,
                          TimePoint now)
{
    updateProfile(mesh, now);
    std::unordered_map<std::string, traffic::ServiceLoad> loads;
    const auto add = [&loads](const std::string &service, const traffic::TargetLoad &load) {
        traffic::ServiceLoad &sum = loads[service];
        sum.m_slots += load.m_limit;
        sum.m_runs += load.m_running + load.m_waiting;
    };
    traffic::Demand demand = regionDemand(mesh, now);
    for (const auto &[node, peer] : mesh.peers()) {
        if (!mesh.isResponsive(*peer, now))
            continue;
        if (peer->m_record.m_usable && !peer->m_record.m_leaving)
            add(peer->m_record.m_service, peer->m_target.m_load);
        if (!mesh.isInRegion(peer->m_record) && m_admission.m_settings.m_countsOtherRegions)
            traffic::addDemand(demand, peer->m_demand);
    }
    if (instances.m_usable)
        add(instances.m_current->m_service, m_gate.load());
    for (const auto &[service, load] : loads)
        traffic::updateAdmission(m_admission, service, load, demand[service], now);
}

traffic::Demand LoadExchange::demandFor(const NodeRecord &receiver, const Mesh &mesh, TimePoint now)
{
    if (mesh.isInRegion(receiver))
        return traffic::currentDemand(m_demandMeter, now);
    return isRegionReporter(mesh, now) ? regionDemand(mesh, now) : traffic::Demand{};
}

void LoadExchange::updateProfile(const Mesh &mesh, TimePoint now)
{
    if (now < m_nextProfile)
        return;
    m_nextProfile = now + ProfileInterval;
    m_gate.ageProfile(ProfileInterval);
    m_profile = m_gate.profile();
    for (const auto &[node, peer] : mesh.peers())
        traffic::addProfile(m_profile, peer->m_profile);
    m_costs.clear();
}

traffic::Demand LoadExchange::regionDemand(const Mesh &mesh, TimePoint now)
{
    traffic::Demand sum = traffic::currentDemand(m_demandMeter, now);
    for (const auto &[node, peer] : mesh.peers()) {
        if (mesh.isInRegion(peer->m_record) && mesh.isResponsive(*peer, now))
            traffic::addDemand(sum, peer->m_demand);
    }
    return sum;
}

bool LoadExchange::isRegionReporter(const Mesh &mesh, TimePoint now)
{
    return std::none_of(mesh.peers().begin(), mesh.peers().end(), [&](const auto &entry) {
        const Peer &peer = *entry.second;
        return mesh.isInRegion(peer.m_record) && mesh.isResponsive(peer, now)
                && !peer.m_record.m_leaving && peer.m_record.m_node < mesh.self().m_node;
    });
}

} // namespace chervilmount::relay
