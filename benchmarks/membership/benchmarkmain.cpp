#include "benchmarks/membership/traffic.h"
#include "membership/membership.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>

using namespace chervilmount::measurements;
using namespace chervilmount::membership;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

constexpr std::size_t Domains = 10;
constexpr std::size_t Services = 1100;

std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

MemberRecord recordOf(std::size_t node)
{
    MemberRecord record;
    record.m_id = {"domain-" + std::to_string(node % Domains),
                   "10." + std::to_string(node % Domains) + "." + std::to_string(node / 250) + "."
                           + std::to_string(node % 250) + ":7400"};
    record.m_incarnation = 1764800000000 + node;
    record.m_version = 2;
    record.m_state = MemberState::Serving;
    record.m_service = "service-" + std::to_string(node % Services);
    record.m_slots = 50;
    return record;
}

/** One node with a full table, a tenth of which is its own failure domain. */
struct Fixture
{
    explicit Fixture(std::size_t nodes)
    {
        m_state = makeState({}, recordOf(0).m_id, recordOf(0).m_incarnation);
        std::vector<MemberRecord> records;
        for (std::size_t node = 1; node < nodes; ++node)
            records.push_back(recordOf(node));
        apply(MessageReceived{recordOf(Domains).m_id, TablePage{0, 1, std::move(records)}});
        m_state.m_bootstrap.m_transferred = true;
        apply(Started{});
        for (const NodeKey key : m_state.m_rings.neighboursOf(m_state.m_selfKey))
            m_neighbours.push_back(*m_state.m_table.findId(key));
    }

    Effects apply(const Event &event) { return step(m_state, event, m_now, m_random); }

    /** Advances time while heartbeats arrive from every peer. */
    void pass(milliseconds time)
    {
        m_now += time;
        m_state.m_steppedAt = m_now;
        for (auto &[key, link] : m_state.m_links) {
            link.m_heardAt = m_now;
            link.m_heard = true;
        }
        for (auto &[name, watch] : m_state.m_domains)
            watch.m_heardAt = m_now;
    }

    MembershipState m_state;
    std::vector<NodeId> m_neighbours;
    TimePoint m_now{std::chrono::hours(1000)};
    std::mt19937_64 m_random{1};
};

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

void heartbeatReceived(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    Heartbeat heartbeat;
    heartbeat.m_version = 2;
    std::size_t next = 0;
    for (auto _ : state) {
        const NodeId &from = fixture.m_neighbours[next++ % fixture.m_neighbours.size()];
        fixture.m_now += milliseconds(100);
        heartbeat.m_clock.m_incarnation = fixture.m_state.m_table.findVersion(keyOf(from))->first;
        heartbeat.m_clock.m_sentAt += milliseconds(100);
        heartbeat.m_tableDigest = fixture.m_state.m_table.digest();
        benchmark::DoNotOptimize(fixture.apply(MessageReceived{from, heartbeat}));
    }
}

void heartbeatsSent(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    for (auto _ : state) {
        fixture.pass(milliseconds(1000));
        benchmark::DoNotOptimize(fixture.apply(TimePassed{}));
    }
}

void idleCheck(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    fixture.m_state.m_heartbeatAt = TimePoint::max();
    for (auto _ : state) {
        fixture.pass(milliseconds(250));
        benchmark::DoNotOptimize(fixture.apply(TimePassed{}));
    }
}

void recordChanged(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    MemberRecord record = recordOf(5);
    for (auto _ : state) {
        fixture.pass(milliseconds(100));
        ++record.m_version;
        benchmark::DoNotOptimize(fixture.apply(
                MessageReceived{fixture.m_neighbours[0], MemberEvents{{record}, {}}}));
    }
}

/** A member of the own domain fails and returns, which changes both rings and bridges. */
void memberFailsAndReturns(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    MemberRecord record = recordOf(Domains * 7);
    for (auto _ : state) {
        for (const MemberState next : {MemberState::Failed, MemberState::Serving}) {
            fixture.pass(milliseconds(100));
            ++record.m_version;
            record.m_state = next;
            benchmark::DoNotOptimize(fixture.apply(
                    MessageReceived{fixture.m_neighbours[0], MemberEvents{{record}, {}}}));
        }
    }
}

/** The replacement of a bridge scans the table. */
void bridgeFailsAndReturns(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    const NodeKey bridge = fixture.m_state.m_bridges.bridgesOf("domain-3")[0];
    MemberRecord record = *fixture.m_state.m_table.find(bridge, fixture.m_now);
    for (auto _ : state) {
        for (const MemberState next : {MemberState::Failed, MemberState::Serving}) {
            fixture.pass(milliseconds(100));
            ++record.m_version;
            record.m_state = next;
            benchmark::DoNotOptimize(fixture.apply(
                    MessageReceived{fixture.m_neighbours[0], MemberEvents{{record}, {}}}));
        }
    }
}

void oneBucketDiffers(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    MemberSyncBuckets buckets{"domain-3", fixture.m_state.m_table.bucketDigests("domain-3")};
    buckets.m_digests[11] ^= 1;
    for (auto _ : state)
        benchmark::DoNotOptimize(fixture.apply(MessageReceived{fixture.m_neighbours[0], buckets}));
}

void tablePageRequested(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.apply(
                MessageReceived{fixture.m_neighbours[0], TableRequest{0, 0, recordOf(1)}}));
    }
}

void routableMembersVisited(benchmark::State &state)
{
    Fixture fixture(sizeOf(state));
    state.SetComplexityN(state.range(0));
    for (auto _ : state) {
        std::size_t count = 0;
        forEachRoutable(fixture.m_state, fixture.m_now, [&](const MemberRecord &) { ++count; });
        benchmark::DoNotOptimize(count);
    }
}

/** Memory of one node's state; the reported time is that of building the whole table. */
void stateBuilt(benchmark::State &state)
{
    state.SetComplexityN(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        malloc_trim(0);
        const std::size_t before = heapInUse();
        state.ResumeTiming();
        std::unique_ptr<Fixture> fixture = std::make_unique<Fixture>(sizeOf(state));
        state.PauseTiming();
        bytes = heapInUse() - before;
        fixture.reset();
        state.ResumeTiming();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["bytesPerMember"] =
            static_cast<double>(bytes) / static_cast<double>(sizeOf(state));
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    for (const std::int64_t size : {330, 1000, 3300, 10000, 33000})
        benchmark->Arg(size);
    benchmark->Unit(benchmark::kMicrosecond)->MinTime(0.1);
}

BENCHMARK(heartbeatReceived)->Apply(sizes)->Complexity();
BENCHMARK(heartbeatsSent)->Apply(sizes)->Complexity();
BENCHMARK(idleCheck)->Apply(sizes)->Complexity();
BENCHMARK(recordChanged)->Apply(sizes)->Complexity();
BENCHMARK(memberFailsAndReturns)->Apply(sizes)->Complexity();
BENCHMARK(bridgeFailsAndReturns)->Apply(sizes)->Complexity();
BENCHMARK(oneBucketDiffers)->Apply(sizes)->Complexity();
BENCHMARK(tablePageRequested)->Apply(sizes)->Complexity();
BENCHMARK(routableMembersVisited)->Apply(sizes)->Complexity();
BENCHMARK(stateBuilt)->Apply(sizes)->Complexity();

} // namespace

BENCHMARK_MAIN();
