#include "traffic/start/startwait.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::steady_clock::time_point Start{100s};
constexpr std::chrono::milliseconds Patience{5000};

} // namespace

// Guards against callers that lose one of their few retries to a node that is ready some tens of
// milliseconds later: after all nodes were killed, their callers return in the same moment.
TEST_CASE("A request waits for a node that has just started")
{
    const StartWaitSettings settings;
    CHECK(endOfStartWait(settings, Start, Start + 20ms, Patience) == Start + 20ms + 300ms);
}

TEST_CASE("A request with little time waits for a quarter of it")
{
    const StartWaitSettings settings;
    CHECK(endOfStartWait(settings, Start, Start + 20ms, 400ms) == Start + 20ms + 100ms);
    CHECK(endOfStartWait(settings, Start, Start + 20ms, 0ms) <= Start + 20ms);
}

// Guards against refusals that come late although the node cannot start, e.g. because the store is
// down.
TEST_CASE("A node that has not become ready within a second refuses at once")
{
    const StartWaitSettings settings;
    CHECK(endOfStartWait(settings, Start, Start + 900ms, Patience) == Start + 1s);
    CHECK(endOfStartWait(settings, Start, Start + 1500ms, Patience) <= Start + 1500ms);
}
