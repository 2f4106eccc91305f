#include "traffic/gate/gate.h"
#include "traffic/requestlimit/requestlimit.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

constexpr RequestLimit::TimePoint Start{std::chrono::hours{1}};

int takenIn(RequestLimit &limit, RequestLimit::TimePoint begin, std::chrono::milliseconds duration)
{
    int taken = 0;
    for (auto time = begin; time < begin + duration; time += 1ms)
        taken += takeRequest(limit, time) ? 1 : 0;
    return taken;
}

ArrivingRun runOf(std::uint64_t number, RequestLimit::TimePoint now)
{
    ArrivingRun run;
    run.m_run = number;
    run.m_targetLatency = 4s;
    run.m_deadline = now + 10s;
    return run;
}

} // namespace

TEST_CASE("A limit on requests is a decimal number from zero")
{
    CHECK(parseRequestLimit("16.3") == 16.3);
    CHECK(parseRequestLimit("0") == 0.0);
    CHECK(parseRequestLimit("0.5") == 0.5);
    for (const char *text : {"", "-1", "+1", "nan", "inf", "1e3", "0x1", "1 ", " 1", "1,2", "1.2.3",
                             "1000000001", "99999999999999999999999999"})
        CHECK_FALSE(parseRequestLimit(text));
}

// Guards against bursts: a bucket that has filled up may not exceed the bound of the platform.
TEST_CASE("A limit allows its rate and less than one and a half times it in four seconds")
{
    const double rate = GENERATE(0.0, 0.2, 1.0, 16.3, 300.0);
    CAPTURE(rate);
    RequestLimit limit;
    nameLimit(limit, rate, Start);
    const int first = takenIn(limit, Start, 4s);
    CHECK(first >= static_cast<int>(rate * 4) - 1);
    // After a pause the bucket is full.
    const int second = takenIn(limit, Start + 20s, 4s);
    CHECK(second <= rate * 6 + 5);
}

TEST_CASE("A limit that falls applies at once")
{
    RequestLimit limit;
    nameLimit(limit, 1000.0, Start);
    nameLimit(limit, 2.0, Start + 10s);
    CHECK(takenIn(limit, Start + 10s, 1s) <= 4);
}

// Guards against an overtaken answer, from before the limit, that lifts it.
TEST_CASE("Only answers to later requests lift a limit")
{
    RequestLimit limit;
    nameLimit(limit, 2.0, Start);
    CHECK_FALSE(liftLimit(limit, Start - 1ms));
    CHECK(limit.m_rate);
    CHECK(liftLimit(limit, Start + 1ms));
    CHECK_FALSE(limit.m_rate);
    CHECK(takenIn(limit, Start + 1s, 100ms) == 100);
}

TEST_CASE("A run beyond the limit waits for its turn or is refused")
{
    Gate gate;
    gate.m_slots = 100;
    nameLimit(gate.m_requestLimit, 2.0, Start);
    const auto now = Start + 10s;
    CHECK(arriveAtGate(gate, runOf(1, now), now).m_verdict == GateVerdict::Start);
    CHECK(arriveAtGate(gate, runOf(2, now), now).m_verdict == GateVerdict::Start);
    CHECK(arriveAtGate(gate, runOf(3, now), now).m_verdict == GateVerdict::Wait);
    CHECK(arriveAtGate(gate, runOf(4, now), now).m_verdict == GateVerdict::Wait);
    // A caller's request waits a quarter of its target latency at most, which is one second.
    CHECK(arriveAtGate(gate, runOf(5, now), now).m_verdict == GateVerdict::Refuse);
    CHECK_FALSE(startNext(gate, now + 400ms));
    const auto next = nextStart(gate, now + 400ms);
    REQUIRE(next);
    CHECK(*next - now <= 501ms);
    CHECK(startNext(gate, *next) == 3);
    CHECK_FALSE(startNext(gate, *next));
}

// Guards against other nodes that send as much as the slots of a limited server would allow.
TEST_CASE("The capacity of a limited server is what it can keep up")
{
    Gate gate;
    gate.m_slots = 100;
    gate.m_holdSeconds = 0.2;
    CHECK(gateCapacity(gate) == 95);
    nameLimit(gate.m_requestLimit, 16.3, Start);
    CHECK(gateCapacity(gate) == 4);
    nameLimit(gate.m_requestLimit, 0.0, Start);
    CHECK(gateCapacity(gate) == 1);
}
