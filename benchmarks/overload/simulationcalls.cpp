// Caller side of calls between nodes: target selection, response, retry, deadline, cancellation.
#include "benchmarks/overload/simulation.h"

#include <algorithm>
#include <bit>
#include <span>

namespace chervilmount::scenarios {

namespace {

constexpr double LookupBytes = 4096.0;

overload::NestedCalls nestedCallsOf(const Simulation &simulation, int service)
{
    return simulation.m_deployment.m_services[service].m_calls.empty()
            ? overload::NestedCalls::None
            : overload::NestedCalls::Possible;
}

overload::AttemptAllowance &ownAllowance(Simulation &simulation, const Call &call)
{
    return call.m_parent == None ? simulation.m_requests[call.m_request].m_allowance
                                 : simulation.m_attempts[call.m_parent].m_allowance;
}

overload::NameNumber routeOf(const Simulation &simulation, const Call &call)
{
    // Route 0 stands for nested calls; the kinds of request are routes 1 and up.
    return call.m_parent == None
            ? simulation.m_originals[simulation.m_requests[call.m_request].m_original].m_kind + 1U
            : 0U;
}

void endCall(Simulation &simulation, std::uint32_t number, bool succeeded)
{
    Call &call = simulation.m_calls[number];
    if (call.m_ended)
        return;
    call.m_ended = true;
    if (call.m_parent == None)
        endRequest(simulation, call.m_request, succeeded);
    else
        nestedCallEnded(simulation, call.m_parent, succeeded);
}

std::optional<std::uint32_t> chooseInTurn(Simulation &simulation, Node &node, int service)
{
    std::vector<std::uint32_t> reachable;
    const std::vector<routing::Candidate> &all = node.m_candidates[service].m_candidates;
    for (std::uint32_t index = 0; index < all.size(); ++index) {
        if (!all[index].m_member.m_excluded
            && all[index].m_member.m_place != routing::Place::OtherRegion)
            reachable.push_back(index);
    }
    if (reachable.empty())
        return std::nullopt;
    if (simulation.m_variant.m_routing == RoutingKind::RoundRobin)
        return reachable[node.m_roundRobin[service]++ % reachable.size()];
    return reachable[simulation.m_decisionRandom() % reachable.size()];
}

std::optional<std::uint32_t> chooseCandidate(Simulation &simulation, const Call &call)
{
    Node &node = simulation.m_nodes[call.m_node];
    if (simulation.m_variant.m_admission == AdmissionKind::Uncontrolled)
        return chooseInTurn(simulation, node, call.m_service);
    const Request &request = simulation.m_requests[call.m_request];
    routing::ChoiceRequest wanted;
    wanted.m_rank = request.m_rank;
    wanted.m_route = routeOf(simulation, call);
    wanted.m_crossRegion = call.m_triedCount == 0;
    wanted.m_estimatedBytes = LookupBytes;
    wanted.m_tried = std::span<const std::uint32_t>(call.m_tried.data(), call.m_triedCount);
    routing::ServiceCandidates *candidates = &node.m_candidates[call.m_service];
    routing::ServiceCandidates withoutLoad;
    if (simulation.m_variant.m_routing == RoutingKind::OneChoice) {
        withoutLoad = *candidates;
        for (routing::Candidate &candidate : withoutLoad.m_candidates) {
            candidate.m_load = 0.0;
            candidate.m_inFlight = std::min(candidate.m_inFlight, 1);
        }
        candidates = &withoutLoad;
    }
    return routing::choose(*candidates, wanted, node.m_link, simulation.m_routing, simulation.m_now,
                           simulation.m_decisionRandom)
            .m_candidate;
}

void failCall(Simulation &simulation, std::uint32_t number)
{
    endCall(simulation, number, false);
}

void sendAttempt(Simulation &simulation, std::uint32_t number,
                 const overload::AttemptAllowance &allowance)
{
    Call &call = simulation.m_calls[number];
    Request &request = simulation.m_requests[call.m_request];
    const std::optional<std::uint32_t> candidate = chooseCandidate(simulation, call);
    if (!candidate) {
        overload::takeBackUnused(ownAllowance(simulation, call), allowance,
                                 allowance.m_extraAttempts);
        failCall(simulation, number);
        return;
    }
    Node &node = simulation.m_nodes[call.m_node];
    routing::recordCallStart(node.m_candidates[call.m_service], *candidate, LookupBytes,
                             node.m_link, simulation.m_now);
    ++request.m_attempts;
    request.m_servicesCalled |= 1U << call.m_service;
    ++simulation.m_totals.m_attempts;
    if (request.m_attempts
        > std::popcount(request.m_servicesCalled) + simulation.m_variant.m_extraAttempts)
        ++simulation.m_totals.m_boundViolations;
    Attempt attempt;
    attempt.m_call = number;
    attempt.m_candidate = *candidate;
    attempt.m_server = node.m_serverOf[call.m_service][*candidate];
    attempt.m_handedOver = allowance;
    attempt.m_allowance = simulation.m_variant.m_treeAllocation
            ? allowance
            : overload::AttemptAllowance{simulation.m_variant.m_extraAttempts, false};
    simulation.m_attempts.push_back(attempt);
    const std::uint32_t index = static_cast<std::uint32_t>(simulation.m_attempts.size() - 1);
    call.m_openAttempt = index;
    schedule(simulation,
             latencyBetween(simulation.m_deployment, node.m_domain,
                            simulation.m_servers[attempt.m_server].m_domain),
             EventKind::AttemptAtServer, index);
    schedule(simulation, request.m_deadline - simulation.m_now, EventKind::AttemptDeadline, index);
}

routing::CallReport reportOf(const Simulation &simulation, const Attempt &attempt)
{
    routing::CallReport report;
    report.m_route = routeOf(simulation, simulation.m_calls[attempt.m_call]);
    report.m_hasReport = attempt.m_hasReport;
    report.m_load = simulation.m_variant.m_carriedLoad ? attempt.m_carriedLoad : 0.0;
    report.m_threshold = attempt.m_carriedThreshold;
    if (attempt.m_outcome == Outcome::Success)
        report.m_result = routing::AttemptResult::Success;
    else if (attempt.m_outcome == Outcome::Error)
        report.m_result = routing::AttemptResult::Failure;
    return report;
}

/** Decides on a retry after a failed attempt; ends the call if there is none. */
void afterFailure(Simulation &simulation, std::uint32_t number, Outcome outcome)
{
    Call &call = simulation.m_calls[number];
    Node &node = simulation.m_nodes[call.m_node];
    const Request &request = simulation.m_requests[call.m_request];
    const Original &original = simulation.m_originals[request.m_original];
    overload::FailedAttempt failed;
    failed.m_failure = outcome == Outcome::NotRun ? overload::Failure::NotRun
            : outcome == Outcome::FurtherDown && simulation.m_variant.m_onlyNextToFailure
            ? overload::Failure::FurtherDown
            : overload::Failure::MayHaveRun;
    failed.m_onceOnly = simulation.m_deployment.m_kinds[original.m_kind].m_onceOnly;
    failed.m_nestedCalls = nestedCallsOf(simulation, call.m_service);
    failed.m_handedOver = simulation.m_attempts[call.m_openAttempt].m_handedOver;
    failed.m_deadline = request.m_deadline;
    overload::AttemptAllowance hopAllowance{call.m_hopRetriesLeft, false};
    overload::AttemptAllowance &own =
            simulation.m_variant.m_treeAllocation ? ownAllowance(simulation, call) : hopAllowance;
    overload::RetryBudget unlimited{1e6, simulation.m_now};
    overload::RetryBudget &budget =
            simulation.m_variant.m_retryBudget ? node.m_budgets[call.m_service] : unlimited;
    const overload::RetryDecision decision =
            overload::decideRetry(failed, own, budget, simulation.m_budgetSettings,
                                  simulation.m_now, simulation.m_decisionRandom);
    if (!decision.m_allowance) {
        failCall(simulation, number);
        return;
    }
    --call.m_hopRetriesLeft;
    call.m_nextAllowance = *decision.m_allowance;
    call.m_openAttempt = None;
    schedule(simulation, decision.m_delay, EventKind::RetryCall, number);
}

} // namespace

void beginCall(Simulation &simulation, std::uint32_t request, std::uint32_t parent, int node,
               int service)
{
    Call call;
    call.m_request = request;
    call.m_parent = parent;
    call.m_node = node;
    call.m_service = service;
    call.m_hopRetriesLeft = simulation.m_variant.m_extraAttempts;
    simulation.m_calls.push_back(call);
    const std::uint32_t number = static_cast<std::uint32_t>(simulation.m_calls.size() - 1);
    if (parent != None)
        simulation.m_attempts[parent].m_nestedCall = number;
    std::optional<overload::AttemptAllowance> allowance = overload::AttemptAllowance{};
    if (simulation.m_variant.m_treeAllocation)
        allowance = overload::allowFirstAttempt(ownAllowance(simulation, call),
                                                nestedCallsOf(simulation, service));
    if (!allowance) {
        failCall(simulation, number);
        return;
    }
    sendAttempt(simulation, number, *allowance);
}

void retryCall(Simulation &simulation, std::uint32_t number)
{
    if (!simulation.m_calls[number].m_ended)
        sendAttempt(simulation, number, simulation.m_calls[number].m_nextAllowance);
}

void responseAtCaller(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    if (attempt.m_closedAtCaller)
        return;
    attempt.m_closedAtCaller = true;
    Call &call = simulation.m_calls[attempt.m_call];
    Node &node = simulation.m_nodes[call.m_node];
    routing::recordCallEnd(node.m_candidates[call.m_service], attempt.m_candidate,
                           reportOf(simulation, attempt), simulation.m_routing, simulation.m_now);
    overload::takeBackUnused(ownAllowance(simulation, call), attempt.m_handedOver,
                             attempt.m_allowance.m_extraAttempts);
    if (attempt.m_outcome == Outcome::Success) {
        overload::recordSuccess(node.m_budgets[call.m_service], simulation.m_budgetSettings);
        endCall(simulation, attempt.m_call, true);
        return;
    }
    if (call.m_triedCount < static_cast<int>(call.m_tried.size()))
        call.m_tried[call.m_triedCount++] = attempt.m_candidate;
    afterFailure(simulation, attempt.m_call, attempt.m_outcome);
}

void attemptDeadline(Simulation &simulation, std::uint32_t number)
{
    Attempt &attempt = simulation.m_attempts[number];
    if (attempt.m_closedAtCaller)
        return;
    attempt.m_closedAtCaller = true;
    Call &call = simulation.m_calls[attempt.m_call];
    // A call that waits for a nested call is no signal about its own backend server.
    const bool nested = attempt.m_state == AttemptState::Nested;
    routing::CallReport report;
    report.m_result = nested ? routing::AttemptResult::NotCounted : routing::AttemptResult::Timeout;
    Node &node = simulation.m_nodes[call.m_node];
    routing::recordCallEnd(node.m_candidates[call.m_service], attempt.m_candidate, report,
                           simulation.m_routing, simulation.m_now);
    if (simulation.m_variant.m_cancellation)
        schedule(simulation,
                 latencyBetween(simulation.m_deployment, node.m_domain,
                                simulation.m_servers[attempt.m_server].m_domain),
                 EventKind::CancelAtServer, number);
    endCall(simulation, attempt.m_call, false);
}

void abandonCall(Simulation &simulation, std::uint32_t number)
{
    Call &call = simulation.m_calls[number];
    if (call.m_ended)
        return;
    call.m_ended = true;
    if (call.m_openAttempt == None || simulation.m_attempts[call.m_openAttempt].m_closedAtCaller)
        return;
    Attempt &attempt = simulation.m_attempts[call.m_openAttempt];
    attempt.m_closedAtCaller = true;
    Node &node = simulation.m_nodes[call.m_node];
    routing::recordCallEnd(node.m_candidates[call.m_service], attempt.m_candidate, {},
                           simulation.m_routing, simulation.m_now);
    schedule(simulation,
             latencyBetween(simulation.m_deployment, node.m_domain,
                            simulation.m_servers[attempt.m_server].m_domain),
             EventKind::CancelAtServer, call.m_openAttempt);
}

} // namespace chervilmount::scenarios
