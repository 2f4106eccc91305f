#include "traffic/gate/gate.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

ArrivingRun run(std::uint64_t number, int priority, bool nested)
{
    ArrivingRun arriving;
    arriving.m_run = number;
    arriving.m_priority = priority;
    arriving.m_nested = nested;
    arriving.m_targetLatency = 2000ms;
    arriving.m_deadline = Start + 5s;
    return arriving;
}

Gate gateWith(int slots, double holdSeconds)
{
    Gate gate;
    gate.m_slots = slots;
    gate.m_holdSeconds = holdSeconds;
    return gate;
}

} // namespace

// Guards against filling a backend server to the utilisation at which it slows down.
TEST_CASE("A part of the slots stays free")
{
    Gate gate = gateWith(19, 0.05);
    CHECK(gateLimit(gate) == 18);
    gate.m_slots = 1;
    CHECK(gateLimit(gate) == 1);
    gate.m_slots = 0;
    CHECK(gateLimit(gate) == 0);
}

// Guards against wasted work when a nested call waits behind callers' requests, and against
// priority inversion between callers' requests.
TEST_CASE("Nested calls start first, then the most important requests")
{
    Gate gate = gateWith(1, 0.05);
    REQUIRE(arriveAtGate(gate, run(1, 0, false), Start).m_verdict == GateVerdict::Start);
    CHECK(arriveAtGate(gate, run(2, 3, false), Start).m_verdict == GateVerdict::Wait);
    CHECK(arriveAtGate(gate, run(3, 0, false), Start).m_verdict == GateVerdict::Wait);
    CHECK(arriveAtGate(gate, run(4, 5, true), Start).m_verdict == GateVerdict::Wait);
    std::vector<std::uint64_t> order;
    for (int count = 0; count < 3; ++count) {
        finishRun(gate, 50ms);
        order.push_back(startNext(gate, Start).value_or(0));
    }
    CHECK(order == std::vector<std::uint64_t>{4, 3, 2});
    CHECK_FALSE(startNext(gate, Start));
}

// Guards against refusals after a wait: the queue accepts only runs that it can start in time.
TEST_CASE("A run whose expected wait is too long is refused at once")
{
    Gate gate = gateWith(2, 0.2);
    gate.m_settings.m_callerWaitShare = 0.125;
    arriveAtGate(gate, run(1, 0, false), Start);
    // Each waiting run adds 200 ms; an eighth of 2 s is 250 ms.
    CHECK(arriveAtGate(gate, run(2, 0, false), Start).m_verdict == GateVerdict::Wait);
    const GateDecision refused = arriveAtGate(gate, run(3, 0, false), Start);
    CHECK(refused.m_verdict == GateVerdict::Refuse);
    CHECK(refused.m_expectedWait == 400ms);
    // A nested call may wait for half of its target latency.
    CHECK(arriveAtGate(gate, run(4, 0, true), Start).m_verdict == GateVerdict::Wait);
}

// Guards against runs that end after their caller has timed out.
TEST_CASE("A run that cannot end before its deadline is refused")
{
    Gate gate = gateWith(2, 0.2);
    arriveAtGate(gate, run(1, 0, false), Start);
    ArrivingRun late = run(2, 0, false);
    late.m_deadline = Start + 100ms;
    CHECK(arriveAtGate(gate, late, Start).m_verdict == GateVerdict::Refuse);
    late.m_deadline = Start - 1ms;
    finishRun(gate, 200ms);
    CHECK(arriveAtGate(gate, late, Start).m_verdict == GateVerdict::Refuse);
}

// Guards against a slot leak when a waiting run is cancelled.
TEST_CASE("A removed run does not start")
{
    Gate gate = gateWith(2, 0.05);
    arriveAtGate(gate, run(1, 0, false), Start);
    arriveAtGate(gate, run(2, 0, false), Start);
    CHECK(removeWaiting(gate, 2));
    CHECK_FALSE(removeWaiting(gate, 2));
    finishRun(gate, 50ms);
    CHECK_FALSE(startNext(gate, Start));
    CHECK(gate.m_running == 0);
}
