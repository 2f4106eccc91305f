// Backend servers and their nodes.
#include "benchmarks/overload/simulation.h"

#include <algorithm>

namespace chervilmount::scenarios {

namespace {

constexpr std::chrono::milliseconds FastRefusal{1};
constexpr std::chrono::milliseconds SoonTick{5};
/** Calls beyond the capacity of a contended server also reduce its capacity. */
constexpr double ContentionLoss = 0.3;

const Fault *activeFault(const Simulation &simulation, FaultKind kind, const Server &server)
{
    for (const Fault &fault : simulation.m_scenario.m_faults) {
        if (fault.m_kind == kind && faultActive(simulation, fault)
            && fault.m_target == server.m_service)
            return &fault;
    }
    return nullptr;
}

/** Hang and fast refusal affect the first backend server of the domain. */
bool isFaulty(const Simulation &simulation, FaultKind kind, int number)
{
    const Server &server = simulation.m_servers[number];
    const Fault *fault = activeFault(simulation, kind, server);
    return fault != nullptr && fault->m_domain == server.m_domain
            && number % simulation.m_deployment.m_serversPerDomain == 0;
}

Duration workTime(Simulation &simulation, const Server &server)
{
    const ServiceModel &service = simulation.m_deployment.m_services[server.m_service];
    std::exponential_distribution<double> tail(1.0);
    double factor = 0.6 + 0.4 * tail(simulation.m_workRandom);
    if (const Fault *slow = activeFault(simulation, FaultKind::Slow, server))
        factor *= slow->m_factor;
    if (const Fault *contended = activeFault(simulation, FaultKind::Contended, server)) {
        const double excess = server.m_running / (service.m_slots / contended->m_factor);
        if (excess > 1.0)
            factor *= excess + ContentionLoss * (excess - 1.0);
    }
    return Duration{
            static_cast<std::int64_t>(factor * static_cast<double>(service.m_workTime.count()))};
}

overload::Rank subtreeThreshold(const Simulation &simulation, int number)
{
    const Server &server = simulation.m_servers[number];
    overload::Rank lowest = server.m_admission.m_threshold.m_rank;
    const Node &node = simulation.m_nodes[FailureDomains + number];
    for (const int callee : simulation.m_deployment.m_services[server.m_service].m_calls)
        lowest = std::min(
                lowest, routing::serviceThreshold(node.m_candidates[callee], 0, simulation.m_now));
    return lowest;
}

bool calleesAdmit(Simulation &simulation, int number, overload::Rank rank)
{
    Node &node = simulation.m_nodes[FailureDomains + number];
    const int service = simulation.m_servers[number].m_service;
    for (const int callee : simulation.m_deployment.m_services[service].m_calls) {
        if (!routing::decideSend(node.m_candidates[callee], 0, rank, simulation.m_now,
                                 simulation.m_decisionRandom)
                     .m_sendOn)
            return false;
    }
    return true;
}

void leaveServer(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    std::vector<std::uint32_t> &present = simulation.m_servers[attempt.m_server].m_present;
    const std::uint32_t last = present.back();
    present[attempt.m_positionAtServer] = last;
    simulation.m_attempts[last].m_positionAtServer = attempt.m_positionAtServer;
    present.pop_back();
    attempt.m_state = AttemptState::Done;
}

void respond(Simulation &simulation, std::uint32_t number, Outcome outcome)
{
    Attempt &attempt = simulation.m_attempts[number];
    const Call &call = simulation.m_calls[attempt.m_call];
    const Server &server = simulation.m_servers[attempt.m_server];
    attempt.m_outcome = outcome;
    attempt.m_hasReport = simulation.m_variant.m_admission == AdmissionKind::Controlled;
    if (attempt.m_hasReport) {
        attempt.m_carriedLoad = overload::carriedLoad(server.m_admission);
        attempt.m_carriedThreshold = subtreeThreshold(simulation, attempt.m_server);
    }
    schedule(simulation,
             latencyBetween(simulation.m_deployment, server.m_domain,
                            simulation.m_nodes[call.m_node].m_domain),
             EventKind::ResponseAtCaller, number);
}

void startWork(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    Server &server = simulation.m_servers[attempt.m_server];
    attempt.m_state = AttemptState::Working;
    attempt.m_startedAt = simulation.m_now;
    ++server.m_running;
    if (isFaulty(simulation, FaultKind::Hang, attempt.m_server))
        return;
    const Duration time = isFaulty(simulation, FaultKind::RefuseFast, attempt.m_server)
            ? Duration{FastRefusal}
            : workTime(simulation, server);
    schedule(simulation, time, EventKind::WorkDone, number);
}

void apply(Simulation &simulation, const overload::AdmissionEffects &effects)
{
    for (const overload::RefusedCall &refused : effects.m_refused) {
        const std::uint32_t number = static_cast<std::uint32_t>(refused.m_call);
        leaveServer(simulation, number);
        respond(simulation, number, Outcome::NotRun);
    }
    for (const overload::CallNumber started : effects.m_started)
        startWork(simulation, static_cast<std::uint32_t>(started));
}

void startFromOwnQueue(Simulation &simulation, Server &server)
{
    const int slots = simulation.m_deployment.m_services[server.m_service].m_slots;
    while (!server.m_ownQueue.empty() && server.m_running < slots) {
        const std::uint32_t next = server.m_ownQueue.front();
        server.m_ownQueue.pop_front();
        startWork(simulation, next);
    }
}

void countSlotTime(Simulation &simulation, const Attempt &attempt, bool useful)
{
    const Time from = RunStart + faultsBegin(simulation.m_scenario);
    const Time to = RunStart + faultsEnd(simulation.m_scenario);
    if (attempt.m_startedAt < from || attempt.m_startedAt >= to)
        return;
    const double seconds =
            std::chrono::duration<double>(simulation.m_now - attempt.m_startedAt).count();
    Request &request = simulation.m_requests[simulation.m_calls[attempt.m_call].m_request];
    simulation.m_totals.m_slotSeconds += seconds;
    if (!useful || (request.m_ended && !request.m_succeeded) || attempt.m_closedAtCaller)
        simulation.m_totals.m_wastedSlotSeconds += seconds;
    else
        request.m_slotSeconds += seconds;
}

/** Ends a call that holds a slot. */
void finish(Simulation &simulation, std::uint32_t number, overload::CallResult result)
{
    Attempt &attempt = simulation.m_attempts[number];
    Server &server = simulation.m_servers[attempt.m_server];
    countSlotTime(simulation, attempt, result == overload::CallResult::Success);
    const Duration slotTime = simulation.m_now - attempt.m_startedAt;
    leaveServer(simulation, number);
    --server.m_running;
    if (simulation.m_variant.m_admission == AdmissionKind::Uncontrolled) {
        startFromOwnQueue(simulation, server);
        return;
    }
    overload::AdmissionEffects effects;
    overload::finishCall(server.m_admission, result, slotTime - attempt.m_nestedTime, slotTime,
                         simulation.m_now, effects);
    apply(simulation, effects);
}

void arriveUncontrolled(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    Server &server = simulation.m_servers[attempt.m_server];
    const ServiceModel &service = simulation.m_deployment.m_services[server.m_service];
    if (server.m_running < service.m_slots) {
        startWork(simulation, number);
    } else if (server.m_running + static_cast<int>(server.m_ownQueue.size())
               < service.m_connections) {
        attempt.m_state = AttemptState::AtServerQueue;
        server.m_ownQueue.push_back(number);
    } else {
        leaveServer(simulation, number);
        respond(simulation, number, Outcome::Error);
    }
}

void callNext(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    const int service = simulation.m_servers[attempt.m_server].m_service;
    const std::vector<int> &calls = simulation.m_deployment.m_services[service].m_calls;
    if (attempt.m_nestedIndex >= calls.size()) {
        finish(simulation, number, overload::CallResult::Success);
        respond(simulation, number, Outcome::Success);
        return;
    }
    attempt.m_state = AttemptState::Nested;
    attempt.m_nestedSince = simulation.m_now;
    beginCall(simulation, simulation.m_calls[attempt.m_call].m_request, number,
              FailureDomains + attempt.m_server, calls[attempt.m_nestedIndex++]);
}

} // namespace

void attemptAtServer(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    Server &server = simulation.m_servers[attempt.m_server];
    if (server.m_lost || (simulation.m_variant.m_cancellation && attempt.m_closedAtCaller))
        return;
    attempt.m_positionAtServer = static_cast<std::uint32_t>(server.m_present.size());
    server.m_present.push_back(number);
    if (simulation.m_variant.m_admission == AdmissionKind::Uncontrolled) {
        arriveUncontrolled(simulation, number);
        return;
    }
    const Request &request = simulation.m_requests[simulation.m_calls[attempt.m_call].m_request];
    if (simulation.m_variant.m_calleeThreshold
        && !calleesAdmit(simulation, attempt.m_server, request.m_rank)) {
        leaveServer(simulation, number);
        respond(simulation, number, Outcome::NotRun);
        return;
    }
    overload::ArrivingCall arriving;
    arriving.m_call = number;
    arriving.m_organisation = simulation.m_variant.m_roundRobinOrganisations
            ? simulation.m_originals[request.m_original].m_organisation + 1U
            : overload::NoOrganisation;
    arriving.m_rank = request.m_rank;
    // The smallest organisation has cost 1, so that its call starts on its first turn.
    arriving.m_cost = static_cast<float>(
            *std::min_element(std::begin(DemandShares), std::end(DemandShares))
            / DemandShares[simulation.m_originals[request.m_original].m_organisation]);
    arriving.m_nested = simulation.m_calls[attempt.m_call].m_parent != None;
    arriving.m_deadline = simulation.m_variant.m_deadlineRefusal
            ? request.m_deadline
            : simulation.m_now + std::chrono::hours{1};
    overload::AdmissionEffects effects;
    const overload::AdmissionDecision decision =
            overload::arrive(server.m_admission, arriving, simulation.m_now, effects);
    apply(simulation, effects);
    if (decision.m_verdict == overload::Verdict::Start) {
        startWork(simulation, number);
    } else if (decision.m_verdict == overload::Verdict::Refuse) {
        leaveServer(simulation, number);
        respond(simulation, number, Outcome::NotRun);
    } else {
        attempt.m_state = AttemptState::Waiting;
        if (!server.m_tickSoon)
            schedule(simulation, SoonTick, EventKind::Tick, attempt.m_server, 1);
        server.m_tickSoon = true;
    }
}

void workDone(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    if (attempt.m_state != AttemptState::Working)
        return;
    if (isFaulty(simulation, FaultKind::RefuseFast, attempt.m_server)) {
        finish(simulation, number, overload::CallResult::ServerRefused);
        respond(simulation, number, Outcome::Error);
        return;
    }
    callNext(simulation, number);
}

void nestedCallEnded(Simulation &simulation, std::uint32_t number, bool succeeded)
{
    Attempt &attempt = simulation.m_attempts[number];
    if (attempt.m_state != AttemptState::Nested)
        return;
    attempt.m_nestedTime += simulation.m_now - attempt.m_nestedSince;
    attempt.m_nestedCall = None;
    if (succeeded) {
        callNext(simulation, number);
        return;
    }
    finish(simulation, number, overload::CallResult::NotCounted);
    respond(simulation, number, Outcome::FurtherDown);
}

void cancelAtServer(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    Server &server = simulation.m_servers[attempt.m_server];
    if (attempt.m_state == AttemptState::Waiting) {
        overload::cancelWaiting(server.m_admission, number);
        leaveServer(simulation, number);
    } else if (attempt.m_state == AttemptState::Working) {
        const Request &request =
                simulation.m_requests[simulation.m_calls[attempt.m_call].m_request];
        finish(simulation, number,
               simulation.m_now >= request.m_deadline ? overload::CallResult::Timeout
                                                      : overload::CallResult::NotCounted);
    } else if (attempt.m_state == AttemptState::Nested) {
        const std::uint32_t nested = attempt.m_nestedCall;
        attempt.m_nestedTime += simulation.m_now - attempt.m_nestedSince;
        finish(simulation, number, overload::CallResult::NotCounted);
        if (nested != None)
            abandonCall(simulation, nested);
    }
}

void tickServer(Simulation &simulation, std::uint32_t number)
{
    Server &server = simulation.m_servers[number];
    server.m_tickSoon = false;
    if (server.m_lost || simulation.m_variant.m_admission == AdmissionKind::Uncontrolled)
        return;
    overload::AdmissionEffects effects;
    overload::tick(server.m_admission, simulation.m_now, effects);
    apply(simulation, effects);
    if (server.m_admission.m_queue.m_size > 0) {
        server.m_tickSoon = true;
        schedule(simulation, SoonTick, EventKind::Tick, number, 1);
    }
}

void dropAllWork(Simulation &simulation, int number)
{
    Server &server = simulation.m_servers[number];
    for (const std::uint32_t attempt : server.m_present) {
        const AttemptState state = simulation.m_attempts[attempt].m_state;
        if (state == AttemptState::Working || state == AttemptState::Nested)
            countSlotTime(simulation, simulation.m_attempts[attempt], false);
        simulation.m_attempts[attempt].m_state = AttemptState::Done;
    }
    server.m_present.clear();
    server.m_ownQueue.clear();
    server.m_running = 0;
    server.m_admission =
            overload::coldAdmission(admissionSettings(simulation, server.m_service),
                                    simulation.m_deployment.m_services[server.m_service].m_slots);
}

} // namespace chervilmount::scenarios
