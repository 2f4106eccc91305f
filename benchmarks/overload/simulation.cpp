// Event loop, set-up and faults.
#include "benchmarks/overload/simulation.h"

#include <algorithm>
#include <limits>

namespace chervilmount::scenarios {

namespace {

constexpr std::chrono::microseconds SameDomainLatency{100};
/** Time until the member tables mask a lost failure domain, and until it is reachable again. */
constexpr std::chrono::seconds MaskDelay{5};
constexpr std::chrono::seconds ReturnDelay{1};
constexpr std::chrono::milliseconds SlowTick{100};

routing::Place placeOf(int fromDomain, int toDomain)
{
    if (fromDomain == toDomain)
        return routing::Place::SameFailureDomain;
    return fromDomain / DomainsPerRegion == toDomain / DomainsPerRegion
            ? routing::Place::SameRegion
            : routing::Place::OtherRegion;
}

void setUpCandidates(Simulation &simulation, Node &node, int number)
{
    const int services = static_cast<int>(simulation.m_deployment.m_services.size());
    node.m_candidates.assign(services, {});
    node.m_serverOf.assign(services, {});
    for (int service = 0; service < services; ++service) {
        std::vector<routing::Member> members;
        for (std::uint32_t server = 0; server < simulation.m_servers.size(); ++server) {
            const Server &other = simulation.m_servers[server];
            if (other.m_service == service)
                members.push_back({std::to_string(server), placeOf(node.m_domain, other.m_domain),
                                   simulation.m_deployment.m_services[service].m_slots, false});
        }
        const std::vector<routing::Member> subset = routing::chooseSubset(
                members, std::to_string(number), simulation.m_routing.m_subsetSize);
        routing::replaceCandidates(node.m_candidates[service], subset, simulation.m_now);
        for (const routing::Member &member : subset)
            node.m_serverOf[service].push_back(std::stoi(member.m_nodeId));
    }
}

Node makeNode(Simulation &simulation, int domain, int number)
{
    Node node;
    node.m_domain = domain;
    const std::size_t services = simulation.m_deployment.m_services.size();
    node.m_budgets.assign(services, {});
    node.m_roundRobin.assign(services, 0);
    const int nodesInRegion = static_cast<int>(simulation.m_servers.size() + FailureDomains)
            * DomainsPerRegion / FailureDomains;
    node.m_link = routing::makeLinkBudget(simulation.m_deployment.m_linkBytesPerSecond,
                                          nodesInRegion, simulation.m_now);
    setUpCandidates(simulation, node, number);
    return node;
}

void coldStart(Simulation &simulation)
{
    for (Server &server : simulation.m_servers) {
        const int inFlight = server.m_admission.m_inFlight;
        overload::Admission &admission = server.m_admission;
        admission.m_limit =
                overload::coldLimit(admission.m_settings.m_limit,
                                    simulation.m_deployment.m_services[server.m_service].m_slots);
        admission.m_threshold = {};
        admission.m_averageSlotTime = 0.0;
        admission.m_lowSlotTime = 0.0;
        admission.m_inFlight = inFlight;
    }
    for (Node &node : simulation.m_nodes) {
        for (routing::ServiceCandidates &candidates : node.m_candidates) {
            for (routing::Candidate &candidate : candidates.m_candidates) {
                candidate.m_appearedAt = simulation.m_now;
                candidate.m_thresholds.clear();
                candidate.m_load = 0.0;
            }
        }
    }
}

std::vector<RequestRecord> recordsOf(const Simulation &simulation)
{
    std::vector<RequestRecord> records;
    for (const Request &request : simulation.m_requests) {
        if (request.m_deadline == Time{} || !request.m_ranked)
            continue;
        const Original &original = simulation.m_originals[request.m_original];
        const RequestKind &kind = simulation.m_deployment.m_kinds[original.m_kind];
        records.push_back({request.m_enteredAt, original.m_organisation, kind.m_service,
                           kind.m_priority,
                           overload::classOf(request.m_rank) % overload::OverUseLevels,
                           request.m_ended, request.m_succeeded});
    }
    return records;
}

void handle(Simulation &simulation, const Event &event)
{
    switch (event.m_kind) {
    case EventKind::NextArrival:
        nextArrival(simulation, static_cast<int>(event.m_subject));
        break;
    case EventKind::RequestAtEntry:
        requestAtEntry(simulation, event.m_subject);
        break;
    case EventKind::AttemptAtServer:
        attemptAtServer(simulation, event.m_subject);
        break;
    case EventKind::WorkDone:
        workDone(simulation, event.m_subject);
        break;
    case EventKind::ResponseAtCaller:
        responseAtCaller(simulation, event.m_subject);
        break;
    case EventKind::AttemptDeadline:
        attemptDeadline(simulation, event.m_subject);
        break;
    case EventKind::CancelAtServer:
        cancelAtServer(simulation, event.m_subject);
        break;
    case EventKind::RetryCall:
        retryCall(simulation, event.m_subject);
        break;
    case EventKind::Tick:
        tickServer(simulation, event.m_subject);
        if (event.m_detail == 0)
            schedule(simulation, SlowTick, EventKind::Tick, event.m_subject);
        break;
    case EventKind::FaultBegins:
        beginFault(simulation, simulation.m_scenario.m_faults[event.m_subject]);
        break;
    case EventKind::FaultEnds:
        endFault(simulation, simulation.m_scenario.m_faults[event.m_subject]);
        break;
    case EventKind::DomainMasked:
        maskDomain(simulation, static_cast<int>(event.m_subject), event.m_detail == 1);
        break;
    case EventKind::CallerRepeats:
        callerRepeats(simulation, event.m_subject, event.m_detail);
        break;
    }
}

} // namespace

void schedule(Simulation &simulation, Duration delay, EventKind kind, std::uint32_t subject,
              std::uint32_t detail)
{
    simulation.m_events.push({simulation.m_now + std::max(delay, Duration{0}),
                              ++simulation.m_sequence, kind, subject, detail});
}

bool faultActive(const Simulation &simulation, const Fault &fault)
{
    const Duration at = simulation.m_now - RunStart;
    return at >= fault.m_from && at < fault.m_to;
}

bool domainIsLost(const Simulation &simulation, int domain)
{
    return std::any_of(simulation.m_scenario.m_faults.begin(), simulation.m_scenario.m_faults.end(),
                       [&](const Fault &fault) {
                           return fault.m_kind == FaultKind::DomainLost && fault.m_domain == domain
                                   && faultActive(simulation, fault);
                       });
}

Duration latencyBetween(const Deployment &deployment, int fromDomain, int toDomain)
{
    switch (placeOf(fromDomain, toDomain)) {
    case routing::Place::SameFailureDomain:
        return SameDomainLatency;
    case routing::Place::SameRegion:
        return deployment.m_domainLatency;
    case routing::Place::OtherRegion:
        return deployment.m_regionLatency;
    }
    return Duration{0};
}

overload::AdmissionSettings admissionSettings(const Simulation &simulation, int service)
{
    overload::AdmissionSettings settings;
    if (!simulation.m_variant.m_adaptiveLimit) {
        settings.m_limit.m_initial = simulation.m_deployment.m_services[service].m_slots;
        settings.m_limit.m_minimum = settings.m_limit.m_initial;
    }
    if (!simulation.m_variant.m_sojournBound) {
        settings.m_sojournTarget = std::chrono::hours{1};
        settings.m_sojournInterval = std::chrono::hours{1};
    }
    settings.m_shedsAboveThreshold = simulation.m_variant.m_ownThreshold;
    return settings;
}

void setUpNodes(Simulation &simulation)
{
    if (!simulation.m_variant.m_outliers) {
        simulation.m_routing.m_outlier.m_failuresInRow = std::numeric_limits<int>::max();
        simulation.m_routing.m_outlier.m_timeoutsInRow = std::numeric_limits<int>::max();
    }
    if (!simulation.m_variant.m_slowStart)
        simulation.m_routing.m_firstWeight = 1.0;
    const int services = static_cast<int>(simulation.m_deployment.m_services.size());
    for (int service = 0; service < services; ++service) {
        for (int place = 0; place < FailureDomains * simulation.m_deployment.m_serversPerDomain;
             ++place) {
            Server server;
            server.m_service = service;
            server.m_domain = place / simulation.m_deployment.m_serversPerDomain;
            server.m_admission =
                    overload::coldAdmission(admissionSettings(simulation, service),
                                            simulation.m_deployment.m_services[service].m_slots);
            simulation.m_servers.push_back(std::move(server));
            schedule(simulation, Duration{0}, EventKind::Tick,
                     static_cast<std::uint32_t>(simulation.m_servers.size() - 1));
        }
    }
    for (int domain = 0; domain < FailureDomains; ++domain)
        simulation.m_nodes.push_back(makeNode(simulation, domain, domain));
    for (std::size_t server = 0; server < simulation.m_servers.size(); ++server)
        simulation.m_nodes.push_back(makeNode(simulation, simulation.m_servers[server].m_domain,
                                              FailureDomains + static_cast<int>(server)));
}

void maskDomain(Simulation &simulation, int domain, bool masked)
{
    for (Node &node : simulation.m_nodes) {
        for (std::size_t service = 0; service < node.m_candidates.size(); ++service) {
            std::vector<routing::Candidate> &all = node.m_candidates[service].m_candidates;
            for (std::size_t index = 0; index < all.size(); ++index) {
                if (simulation.m_servers[node.m_serverOf[service][index]].m_domain != domain)
                    continue;
                all[index].m_member.m_excluded = masked;
                if (!masked)
                    all[index].m_appearedAt = simulation.m_now;
            }
        }
    }
}

void beginFault(Simulation &simulation, const Fault &fault)
{
    if (fault.m_kind == FaultKind::AllCold)
        coldStart(simulation);
    if (fault.m_kind != FaultKind::DomainLost)
        return;
    for (std::uint32_t server = 0; server < simulation.m_servers.size(); ++server) {
        if (simulation.m_servers[server].m_domain != fault.m_domain)
            continue;
        dropAllWork(simulation, static_cast<int>(server));
        simulation.m_servers[server].m_lost = true;
    }
    // Callers connected to this entry node see a broken connection.
    for (std::uint32_t request = 0; request < simulation.m_requests.size(); ++request) {
        if (simulation.m_requests[request].m_entry == fault.m_domain
            && simulation.m_requests[request].m_deadline != Time{})
            endRequest(simulation, request, false);
    }
    schedule(simulation, MaskDelay, EventKind::DomainMasked,
             static_cast<std::uint32_t>(fault.m_domain), 1);
}

void endFault(Simulation &simulation, const Fault &fault)
{
    for (std::uint32_t server = 0; server < simulation.m_servers.size(); ++server) {
        Server &other = simulation.m_servers[server];
        if (other.m_domain != fault.m_domain)
            continue;
        if (fault.m_kind == FaultKind::DomainLost)
            other.m_lost = false;
        // A hanging server is restarted; the work in it is lost.
        if (fault.m_kind == FaultKind::Hang && other.m_service == fault.m_target
            && server % simulation.m_deployment.m_serversPerDomain == 0)
            dropAllWork(simulation, static_cast<int>(server));
    }
    if (fault.m_kind == FaultKind::DomainLost)
        schedule(simulation, ReturnDelay, EventKind::DomainMasked,
                 static_cast<std::uint32_t>(fault.m_domain), 0);
}

Measures runScenario(const Deployment &deployment, const Scenario &scenario, const Variant &variant,
                     std::uint64_t seed, std::vector<RequestRecord> *records)
{
    Simulation simulation{deployment, scenario, variant};
    simulation.m_arrivalRandom.seed(seed);
    simulation.m_workRandom.seed(seed + 1);
    simulation.m_decisionRandom.seed(seed + 2);
    setUpNodes(simulation);
    startArrivals(simulation);
    for (std::uint32_t fault = 0; fault < scenario.m_faults.size(); ++fault) {
        schedule(simulation, scenario.m_faults[fault].m_from, EventKind::FaultBegins, fault);
        schedule(simulation, scenario.m_faults[fault].m_to, EventKind::FaultEnds, fault);
    }
    const Time end = RunStart + scenario.m_length;
    while (!simulation.m_events.empty() && simulation.m_events.top().m_at < end) {
        const Event event = simulation.m_events.top();
        simulation.m_events.pop();
        simulation.m_now = event.m_at;
        ++simulation.m_totals.m_events;
        handle(simulation, event);
    }
    if (records != nullptr)
        *records = recordsOf(simulation);
    return measure(deployment, scenario, simulation.m_originals, simulation.m_totals, RunStart);
}

} // namespace chervilmount::scenarios
