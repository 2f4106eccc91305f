// Callers and entry nodes: arrivals, rate enforcement, rank, threshold and repeats.
#include "benchmarks/overload/simulation.h"

#include <algorithm>

namespace chervilmount::scenarios {

namespace {

constexpr std::chrono::seconds RequestTimeout{2};

double demandFactor(const Simulation &simulation, int organisation)
{
    double factor = 1.0;
    for (const Fault &fault : simulation.m_scenario.m_faults) {
        if (!faultActive(simulation, fault))
            continue;
        if (fault.m_kind == FaultKind::Demand
            || (fault.m_kind == FaultKind::OneOrganisation && fault.m_target == organisation))
            factor *= fault.m_factor;
    }
    return factor;
}

int entryFor(Simulation &simulation, int homeDomain)
{
    if (!domainIsLost(simulation, homeDomain))
        return homeDomain;
    std::uniform_int_distribution<int> pick(0, FailureDomains - 2);
    const int other = pick(simulation.m_decisionRandom);
    return other < homeDomain ? other : other + 1;
}

void sendToEntry(Simulation &simulation, std::uint32_t original, int repeat)
{
    const Original &source = simulation.m_originals[original];
    Request request;
    request.m_original = original;
    request.m_repeat = repeat;
    request.m_entry = entryFor(simulation, source.m_domain);
    simulation.m_requests.push_back(request);
    schedule(simulation, simulation.m_deployment.m_clientLatency, EventKind::RequestAtEntry,
             static_cast<std::uint32_t>(simulation.m_requests.size() - 1));
}

bool withinRate(Simulation &simulation, int organisation)
{
    if (simulation.m_scenario.m_rateFactor == 0.0)
        return true;
    const double rate = simulation.m_deployment.m_normalDemand * DemandShares[organisation]
            * simulation.m_scenario.m_rateFactor;
    double &tokens = simulation.m_rateTokens[organisation];
    Time &refilled = simulation.m_rateRefilled[organisation];
    tokens = std::min(
            rate,
            tokens + rate * std::chrono::duration<double>(simulation.m_now - refilled).count());
    refilled = simulation.m_now;
    if (tokens < 1.0)
        return false;
    tokens -= 1.0;
    return true;
}

overload::Rank rankFor(Simulation &simulation, std::uint32_t number)
{
    const Request &request = simulation.m_requests[number];
    const Original &original = simulation.m_originals[request.m_original];
    const int organisation = original.m_organisation;
    const double rate = overload::recordUse(
            simulation.m_nodes[request.m_entry].m_usage[organisation], simulation.m_now);
    const double share = simulation.m_deployment.m_normalDemand * DemandShares[organisation] * 1.2
            / FailureDomains;
    // The share follows the rate; if the demand of all organisations rises, the rates rise with it.
    const bool allRise = std::any_of(simulation.m_scenario.m_faults.begin(),
                                     simulation.m_scenario.m_faults.end(), [](const Fault &fault) {
                                         return fault.m_kind == FaultKind::Demand
                                                 || fault.m_kind == FaultKind::DomainLost;
                                     });
    const int overUse = simulation.m_variant.m_overUseLevels
            ? overload::overUseLevel(allRise ? 0.0 : rate, share, request.m_repeat)
            : 0;
    const int priority = simulation.m_variant.m_priorities
            ? simulation.m_deployment.m_kinds[original.m_kind].m_priority
            : 5;
    model::RequestId id{};
    for (int byte = 0; byte < 4; ++byte)
        id[byte] = static_cast<std::uint8_t>(request.m_original >> (8 * byte));
    return overload::makeRank(priority, overUse, id);
}

} // namespace

void startArrivals(Simulation &simulation)
{
    for (int organisation = 0; organisation < Organisations; ++organisation) {
        simulation.m_rateTokens[organisation] = 0.0;
        simulation.m_rateRefilled[organisation] = simulation.m_now;
        schedule(simulation, Duration{0}, EventKind::NextArrival, organisation, 1);
    }
}

void nextArrival(Simulation &simulation, int organisation)
{
    std::mt19937_64 &random = simulation.m_arrivalRandom;
    const double rate = simulation.m_deployment.m_normalDemand * DemandShares[organisation]
            * demandFactor(simulation, organisation);
    std::exponential_distribution<double> gap(rate);
    const Duration delay{static_cast<std::int64_t>(gap(random) * 1e9)};
    Original original;
    original.m_arrivedAt = simulation.m_now;
    original.m_organisation = static_cast<std::uint8_t>(organisation);
    original.m_domain = static_cast<std::uint8_t>(random() % FailureDomains);
    std::uniform_real_distribution<double> pick(0.0, 1.0);
    double left = pick(random);
    const std::vector<RequestKind> &kinds = simulation.m_deployment.m_kinds;
    while (original.m_kind + 1U < kinds.size() && left >= kinds[original.m_kind].m_share)
        left -= kinds[original.m_kind++].m_share;
    simulation.m_originals.push_back(original);
    sendToEntry(simulation, static_cast<std::uint32_t>(simulation.m_originals.size() - 1), 0);
    schedule(simulation, delay, EventKind::NextArrival, organisation, 0);
}

void callerRepeats(Simulation &simulation, std::uint32_t original, std::uint32_t repeat)
{
    sendToEntry(simulation, original, static_cast<int>(repeat));
}

void requestAtEntry(Simulation &simulation, std::uint32_t number)
{
    Request &request = simulation.m_requests[number];
    Original &original = simulation.m_originals[request.m_original];
    ++simulation.m_totals.m_requests;
    request.m_deadline = simulation.m_now + RequestTimeout;
    request.m_allowance = {simulation.m_variant.m_extraAttempts, false};
    if (domainIsLost(simulation, request.m_entry)) {
        endRequest(simulation, number, false);
        return;
    }
    if (!withinRate(simulation, original.m_organisation)) {
        original.m_beyondRate = true;
        endRequest(simulation, number, false);
        return;
    }
    request.m_rank = rankFor(simulation, number);
    request.m_ranked = true;
    request.m_enteredAt = simulation.m_now;
    const int service = simulation.m_deployment.m_kinds[original.m_kind].m_service;
    if (simulation.m_variant.m_entryThreshold) {
        if (!routing::decideSend(simulation.m_nodes[request.m_entry].m_candidates[service],
                                 original.m_kind + 1U, request.m_rank, simulation.m_now,
                                 simulation.m_decisionRandom)
                     .m_sendOn) {
            endRequest(simulation, number, false);
            return;
        }
    }
    beginCall(simulation, number, None, request.m_entry, service);
}

void endRequest(Simulation &simulation, std::uint32_t number, bool succeeded)
{
    Request &request = simulation.m_requests[number];
    if (request.m_ended)
        return;
    request.m_ended = true;
    request.m_succeeded = succeeded;
    if (!succeeded)
        simulation.m_totals.m_wastedSlotSeconds += request.m_slotSeconds;
    const Duration back = simulation.m_deployment.m_clientLatency;
    Original &original = simulation.m_originals[request.m_original];
    if (succeeded) {
        if (!original.m_succeeded)
            original.m_succeededAt = simulation.m_now + back;
        original.m_succeeded = true;
        original.m_beyondRate = false;
        return;
    }
    if (request.m_repeat >= simulation.m_scenario.m_repeats)
        return;
    const bool atOnce = simulation.m_scenario.m_repeatsAtOnce || !simulation.m_variant.m_retryDelay;
    const Duration delay = atOnce
            ? Duration{0}
            : Duration{overload::callerRetryDelay(request.m_repeat, simulation.m_decisionRandom)};
    schedule(simulation, back + delay, EventKind::CallerRepeats, request.m_original,
             static_cast<std::uint32_t>(request.m_repeat + 1));
}

} // namespace chervilmount::scenarios
