#include "traffic/lineage/lineage.h"
#include "traffic/profile/callprofile.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

} // namespace

// Guards against attributing nested calls to another run.
TEST_CASE("Runs with equal deadlines get deadlines that tell them apart")
{
    Lineage lineage;
    for (std::uint64_t run = 1; run <= 8; ++run) {
        const std::chrono::steady_clock::time_point handed = enterRun(lineage, run, Start + 1s);
        CHECK(handed <= Start + 1s);
        CHECK(handed >= Start + 1s - 41ms);
        // The backend server states whole milliseconds, and the call takes a moment to arrive.
        CHECK(findRun(lineage, handed + 1ms) == run);
        CHECK(findRun(lineage, handed - 1ms) == run);
    }
}

// Guards against attributing nested calls to a run that has ended.
TEST_CASE("A run that has left is not found")
{
    Lineage lineage;
    const std::chrono::steady_clock::time_point handed = enterRun(lineage, 1, Start + 1s);
    leaveRun(lineage, 2, handed);
    CHECK(findRun(lineage, handed) == 1);
    leaveRun(lineage, 1, handed);
    CHECK_FALSE(findRun(lineage, handed));
    CHECK_FALSE(findRun(lineage, handed + 700ms));
}

// Guards against call trees whose cost is unknown at the entry node.
TEST_CASE("Expected runs multiply along the call graph")
{
    CallProfile profile;
    for (int run = 0; run < 20; ++run) {
        for (int call = 0; call < 2; ++call)
            recordNestedCall(profile, "lookup", "status");
        recordNestedCall(profile, "status", "index");
        for (int call = 0; call < 4; ++call)
            recordNestedCall(profile, "index", "grades");
        recordRun(profile, "lookup", 200ms);
        recordRun(profile, "status", 100ms);
        recordRun(profile, "index", 100ms);
        recordRun(profile, "grades", 50ms);
    }
    const auto expected = expectedRuns(profile, "lookup");
    CHECK(expected.at("grades").m_runs == Approx(8.0));
    CHECK(expected.at("grades").m_slotSeconds == Approx(0.4));
    CHECK(expected.at("index").m_runs == Approx(2.0));
    CHECK(expected.at("lookup").m_slotSeconds == Approx(0.2));
}

// Guards against attributing nested calls to a route that makes none.
TEST_CASE("Calls whose run is not known are learned for the route that makes them")
{
    std::mt19937_64 random(3);
    std::poisson_distribution<int> downloads(2.0);
    std::poisson_distribution<int> indexes(2.0);
    CallProfile profile;
    OpenCalls open;
    // Runs of both routes overlap; only those of "index" make calls, four each.
    for (int step = 0; step < 400; ++step) {
        const int downloading = downloads(random);
        const int indexing = indexes(random);
        ActiveRuns active;
        if (downloading > 0)
            active["download"] = downloading;
        if (indexing > 0)
            active["index"] = indexing;
        for (int call = 0; call < 4 * indexing; ++call)
            recordUnassignedCall(open, profile, active, "grades");
        for (int run = downloading; run > 0; --run)
            recordRun(profile, "download", 250ms, takeOpenCalls(open, "download", run));
        for (int run = indexing; run > 0; --run)
            recordRun(profile, "index", 250ms, takeOpenCalls(open, "index", run));
    }
    const RouteProfile &index = profile.at("index");
    const RouteProfile &download = profile.at("download");
    CHECK(index.m_calls.at("grades") / index.m_runs == Approx(4.0).margin(0.5));
    CHECK(download.m_calls.at("grades") / download.m_runs < 0.5);
}

// Guards against infinite recursion when the learned call graph has a cycle.
TEST_CASE("A cycle in the learned calls ends")
{
    CallProfile profile;
    for (int run = 0; run < 10; ++run) {
        recordNestedCall(profile, "a", "b");
        recordNestedCall(profile, "b", "a");
        recordRun(profile, "a", 10ms);
        recordRun(profile, "b", 10ms);
    }
    CHECK(expectedRuns(profile, "a").size() == 2);
}

// Guards against overestimated costs of call trees after a start or during a surge, when active
// runs have already made nested calls.
TEST_CASE("Calls of runs that go on do not raise the calls per run")
{
    constexpr int RunsPerSecond = 100;
    constexpr int Calls = 10;
    CallProfile profile;
    OpenCalls open;
    // Each run lasts one second and makes its calls evenly; it is not known which run makes a call.
    for (int tick = 0; tick < 4 * RunsPerSecond; ++tick) {
        const int active = std::min(tick + 1, RunsPerSecond);
        for (int age = 0; age < active; ++age) {
            if (age % (RunsPerSecond / Calls) == 0)
                recordUnassignedCall(open, profile, {{"lookup", active}}, "grades");
        }
        if (tick < RunsPerSecond)
            continue;
        recordRun(profile, "lookup", 1s, takeOpenCalls(open, "lookup", active));
        if (tick < RunsPerSecond + 10)
            continue;
        const double calls = expectedRuns(profile, "lookup").at("grades").m_runs;
        INFO("after " << tick - RunsPerSecond << " runs");
        CHECK(calls >= 0.5 * Calls);
        CHECK(calls <= 1.15 * Calls);
    }
}

// Guards against counting nested calls for a run that did not make them.
TEST_CASE("Calls whose run is known count with that run")
{
    CallProfile profile;
    for (int run = 0; run < 20; ++run) {
        recordRun(profile, "lookup", 200ms, {{"grades", 8.0}});
        recordRun(profile, "download", 200ms);
    }
    CHECK(expectedRuns(profile, "lookup").at("grades").m_runs == Approx(8.0));
    CHECK_FALSE(expectedRuns(profile, "download").contains("grades"));
}
