#include "model/model.h"
#include "sharedstate/sharedstate.h"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <malloc.h>
#include <memory>
#include <random>

using namespace chervilmount;
using std::chrono::milliseconds;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr std::size_t Services = 1100;
constexpr std::size_t KeysPerOrganisation = 3;

std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Builds a value and returns the heap memory that it holds. */
template<typename Build>
std::size_t measureMemory(const Build &build)
{
    malloc_trim(0);
    const std::size_t before = heapInUse();
    const auto value = build();
    benchmark::DoNotOptimize(value);
    return heapInUse() - before;
}

std::string organisationName(std::size_t index)
{
    return "organisation-" + std::to_string(index);
}

/** The target's services with two routes each, and the given number of organisations. */
model::Configuration makeConfiguration(std::size_t organisations)
{
    std::mt19937_64 random(3);
    model::Configuration configuration;
    for (std::size_t i = 0; i < Services; ++i) {
        const std::string service = "service-" + std::to_string(i);
        configuration.m_services.push_back({service, {}});
        for (const char *kind : {"read", "write"}) {
            model::Route route;
            route.m_name = service + "-" + kind;
            route.m_service = service;
            route.m_pathPrefix = "/" + service + "/" + kind;
            route.m_priority = "normal";
            configuration.m_routes.push_back(route);
        }
    }
    for (std::size_t i = 0; i < organisations; ++i) {
        model::Organisation organisation;
        organisation.m_name = organisationName(i);
        organisation.m_rate = 100;
        organisation.m_burst = 100;
        configuration.m_organisations.push_back(organisation);
        for (std::size_t key = 0; key < KeysPerOrganisation; ++key) {
            std::string digest;
            while (digest.size() < 64) {
                char word[17];
                std::snprintf(word, sizeof(word), "%016llx",
                              static_cast<unsigned long long>(random()));
                digest += word;
            }
            configuration.m_keys.push_back({"key-" + std::to_string(i) + "-" + std::to_string(key),
                                            organisation.m_name, digest});
        }
    }
    return configuration;
}

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

/** A node's copy of the set with its index; the reported time is that of building both. */
void configurationIndex(benchmark::State &state)
{
    const model::Configuration configuration = makeConfiguration(sizeOf(state));
    for (auto _ : state) {
        const model::VersionedConfiguration set(configuration, 1);
        const model::ConfigurationIndex index(set);
        benchmark::DoNotOptimize(&index);
    }
    state.counters["setBytes"] = static_cast<double>(measureMemory(
            [&] { return std::make_unique<model::VersionedConfiguration>(configuration, 1); }));
    const model::VersionedConfiguration set(configuration, 1);
    state.counters["indexBytes"] = static_cast<double>(
            measureMemory([&] { return std::make_unique<model::ConfigurationIndex>(set); }));
    state.SetComplexityN(state.range(0));
}

std::map<std::string, sharedstate::GroupPlan> makePlans(std::size_t organisations)
{
    std::map<std::string, sharedstate::GroupPlan> plans;
    for (std::size_t i = 0; i < organisations; ++i)
        plans[organisationName(i)] = {{1e6, 1e6}, {}};
    return plans;
}

std::unique_ptr<sharedstate::RateGroupState> makeGroup(std::size_t organisations, TimePoint now)
{
    auto group = std::make_unique<sharedstate::RateGroupState>();
    group->m_group = "rates/domain-3/12";
    sharedstate::startEpoch(*group, 1, makePlans(organisations), now);
    return group;
}

/** One request for a grant at the holder of a group. */
void grantRequested(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    std::mt19937_64 random(1);
    const std::unique_ptr<sharedstate::RateGroupState> group = makeGroup(sizeOf(state), now);
    now += std::chrono::seconds(5);
    sharedstate::GrantRequest request;
    request.m_group = group->m_group;
    request.m_from = "domain-3/10.3.0.2:7400";
    request.m_tokens = 3;
    for (auto _ : state) {
        now += milliseconds(1);
        ++request.m_request;
        request.m_organisation = organisationName(request.m_request % sizeOf(state));
        benchmark::DoNotOptimize(sharedstate::grantRequested(*group, request, now, random));
    }
    state.SetComplexityN(state.range(0));
}

/** One tick of a group without demand; the node makes 20 a second. */
void groupTick(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    std::mt19937_64 random(1);
    const std::unique_ptr<sharedstate::RateGroupState> group = makeGroup(sizeOf(state), now);
    for (auto _ : state) {
        now += milliseconds(50);
        benchmark::DoNotOptimize(sharedstate::rateGroupTick(*group, now, random));
    }
    state.counters["bytes"] =
            static_cast<double>(measureMemory([&] { return makeGroup(sizeOf(state), now); }));
    state.SetComplexityN(state.range(0));
}

std::unique_ptr<sharedstate::RateEntryState> makeEntry(std::size_t organisations)
{
    auto entry = std::make_unique<sharedstate::RateEntryState>();
    for (std::size_t i = 0; i < organisations; ++i)
        entry->m_organisations[organisationName(i)].m_groups = {"rates/domain-3/12"};
    return entry;
}

/** One tick of an entry node without requests; the node makes 20 to 100 a second. */
void entryTick(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    const std::unique_ptr<sharedstate::RateEntryState> entry = makeEntry(sizeOf(state));
    for (auto _ : state) {
        now += milliseconds(50);
        benchmark::DoNotOptimize(sharedstate::rateEntryTick(*entry, now));
    }
    state.counters["bytes"] =
            static_cast<double>(measureMemory([&] { return makeEntry(sizeOf(state)); }));
    state.SetComplexityN(state.range(0));
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    for (const std::int64_t size : {10, 100, 1000, 10000})
        benchmark->Arg(size);
    benchmark->Unit(benchmark::kMicrosecond)->MinTime(0.1);
}

BENCHMARK(configurationIndex)->Apply(sizes)->Complexity();
BENCHMARK(grantRequested)->Apply(sizes)->Complexity();
BENCHMARK(groupTick)->Apply(sizes)->Complexity();
BENCHMARK(entryTick)->Apply(sizes)->Complexity();

} // namespace

BENCHMARK_MAIN();
