// Cost of one decision: admission plus routing. The target is at most 2 microseconds at 100
// organisations.
#include "overload/overload.h"
#include "routing/routing.h"

#include <benchmark/benchmark.h>

#include <vector>

namespace {

using namespace chervilmount;

using Time = std::chrono::steady_clock::time_point;

constexpr int Slots = 50;
/** Queue length at the start of the measurement. */
constexpr int Waiting = 200;

/** State of one node as caller and as server; all slots are in use and calls are queued. */
struct Node
{
    overload::Admission m_admission;
    std::vector<routing::ServiceCandidates> m_services;
    routing::LinkBudget m_link;
    routing::RoutingSettings m_routing;
    std::mt19937_64 m_random{1};
    Time m_now{std::chrono::hours{1}};
    overload::CallNumber m_next = 0;
    std::vector<overload::NameNumber> m_organisations;
};

Node makeNode(int organisations, int services, int backendServers)
{
    Node node;
    overload::AdmissionSettings settings;
    settings.m_limit.m_initial = Slots;
    // The benchmark's clock does not advance between refusals, so that queued calls do not expire.
    node.m_admission = overload::coldAdmission(settings, Slots);
    for (int organisation = 1; organisation <= organisations; ++organisation)
        node.m_organisations.push_back(static_cast<overload::NameNumber>(organisation));
    std::vector<routing::Member> members;
    for (int number = 0; number < backendServers; ++number)
        members.push_back({"backend-" + std::to_string(number),
                           static_cast<routing::Place>(number % routing::Places), Slots, false});
    node.m_services.resize(services);
    for (routing::ServiceCandidates &candidates : node.m_services) {
        const std::vector<routing::Member> subset =
                routing::chooseSubset(members, "caller", node.m_routing.m_subsetSize);
        routing::replaceCandidates(candidates, subset, node.m_now);
    }
    node.m_now += std::chrono::seconds{20};
    return node;
}

overload::ArrivingCall nextCall(Node &node)
{
    overload::ArrivingCall call;
    call.m_call = ++node.m_next;
    call.m_organisation = node.m_organisations[node.m_random() % node.m_organisations.size()];
    call.m_rank = static_cast<overload::Rank>(node.m_random() % overload::RankCount);
    call.m_deadline = node.m_now + std::chrono::seconds{2};
    return call;
}

/** One call at the calling node (threshold, choice, report) and at the inbound node (admission,
 * end). */
void decide(Node &node, overload::AdmissionEffects &effects)
{
    node.m_now += std::chrono::microseconds{20};
    const overload::ArrivingCall call = nextCall(node);
    routing::ServiceCandidates &candidates =
            node.m_services[node.m_random() % node.m_services.size()];
    benchmark::DoNotOptimize(
            routing::decideSend(candidates, 1, call.m_rank, node.m_now, node.m_random));
    routing::ChoiceRequest request;
    request.m_rank = call.m_rank;
    request.m_route = 1;
    const routing::Choice choice = routing::choose(candidates, request, node.m_link, node.m_routing,
                                                   node.m_now, node.m_random);
    routing::recordCallStart(candidates, *choice.m_candidate, 4096.0, node.m_link, node.m_now);
    effects.m_started.clear();
    effects.m_refused.clear();
    benchmark::DoNotOptimize(overload::arrive(node.m_admission, call, node.m_now, effects));
    overload::finishCall(node.m_admission, overload::CallResult::Success,
                         std::chrono::milliseconds{1}, std::chrono::milliseconds{1}, node.m_now,
                         effects);
    routing::CallReport report;
    report.m_result = routing::AttemptResult::Success;
    report.m_route = 1;
    report.m_hasReport = true;
    report.m_load = overload::carriedLoad(node.m_admission);
    routing::recordCallEnd(candidates, *choice.m_candidate, report, node.m_routing, node.m_now);
}

void oneDecision(benchmark::State &state)
{
    Node node = makeNode(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
                         static_cast<int>(state.range(2)));
    overload::AdmissionEffects effects;
    for (int call = 0; call < Slots + Waiting; ++call)
        benchmark::DoNotOptimize(
                overload::arrive(node.m_admission, nextCall(node), node.m_now, effects));
    for (auto unused : state) {
        static_cast<void>(unused);
        decide(node, effects);
    }
}

BENCHMARK(oneDecision)
        ->ArgNames({"organisations", "services", "backendServers"})
        ->Args({10, 10, 16})
        ->Args({100, 10, 16})
        ->Args({1000, 10, 16})
        ->Args({100, 1, 16})
        ->Args({100, 100, 16})
        ->Args({100, 1100, 16})
        ->Args({100, 10, 4})
        ->Args({100, 10, 30})
        ->Args({100, 10, 300})
        ->Repetitions(5);

} // namespace

BENCHMARK_MAIN();
