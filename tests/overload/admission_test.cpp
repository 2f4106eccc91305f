#include "overload/overload.h"

#include <catch2/catch.hpp>

#include <map>

using namespace chervilmount::overload;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

Rank rankOf(int priority, int overUse)
{
    return static_cast<Rank>((priority * OverUseLevels + overUse) * RanksPerClass);
}

ArrivingCall callOf(CallNumber call, NameNumber organisation, Rank rank,
                    std::chrono::nanoseconds timeLeft = 2s)
{
    return {call, organisation, rank, false, 1.0F, Start + timeLeft};
}

/** @returns an admission with one slot, which call 1 holds. */
Admission busyAdmission()
{
    Admission admission = coldAdmission(AdmissionSettings{}, 1);
    AdmissionEffects effects;
    REQUIRE(arrive(admission, callOf(1, 1, 0), Start, effects).m_verdict == Verdict::Start);
    return admission;
}

} // namespace

// Guards against priority inversion in the queue.
TEST_CASE("Waiting calls start in strict order of priority and over-use level")
{
    Admission admission = busyAdmission();
    AdmissionEffects effects;
    const std::vector<std::pair<CallNumber, Rank>> calls{
            {10, rankOf(5, 0)}, {11, rankOf(2, 1)}, {12, rankOf(0, 0)}, {13, rankOf(2, 0)}};
    for (const std::pair<CallNumber, Rank> &call : calls)
        CHECK(arrive(admission, callOf(call.first, 1, call.second), Start, effects).m_verdict
              == Verdict::Wait);
    std::vector<CallNumber> order;
    for (int call = 0; call < 4; ++call) {
        effects = {};
        finishCall(admission, CallResult::Success, 1ms, 1ms, Start + 1ms, effects);
        REQUIRE(effects.m_started.size() == 1);
        order.push_back(effects.m_started[0]);
    }
    CHECK(order == std::vector<CallNumber>{12, 13, 11, 10});
}

// Guards against one organisation that starves the others of the same priority.
TEST_CASE("Organisations of one class take turns, by cost")
{
    AdmissionQueue queue;
    CallNumber call = 0;
    for (int number = 0; number < 30; ++number)
        enqueue(queue, {++call, 1, 0, false, 1.0F, Start + 1s, Start});
    for (int number = 0; number < 10; ++number) {
        enqueue(queue, {++call, 2, 0, false, 1.0F, Start + 1s, Start});
        enqueue(queue, {++call, 3, 0, false, 2.0F, Start + 1s, Start});
    }
    std::map<NameNumber, int> taken;
    for (int number = 0; number < 10; ++number)
        ++taken[dequeue(queue, Start)->m_organisation];
    CHECK(taken[1] == 4);
    CHECK(taken[2] == 4);
    CHECK(taken[3] == 2);
}

// Guards against corruption of the queue's linked lists when calls are removed at any position.
TEST_CASE("Random use of the queue keeps its size and its order within an organisation")
{
    std::mt19937_64 random(7);
    AdmissionQueue queue;
    std::map<CallNumber, std::pair<NameNumber, int>> waiting;
    CallNumber next = 0;
    for (int step = 0; step < 20000; ++step) {
        const std::uint64_t action = random() % 5;
        if (action < 2) {
            const NameNumber organisation = random() % 6;
            const Rank rank = static_cast<Rank>(random() % RankCount);
            enqueue(queue, {++next, organisation, rank, false, 0.5F, Start + 1s, Start});
            waiting[next] = {organisation, classOf(rank)};
        } else if (action == 2 && !waiting.empty()) {
            const CallNumber victim = std::next(waiting.begin(), random() % waiting.size())->first;
            CHECK(removeCall(queue, victim));
            CHECK_FALSE(removeCall(queue, victim));
            waiting.erase(victim);
        } else if (const std::optional<QueuedCall> taken = dequeue(queue, Start)) {
            const std::pair<NameNumber, int> key{taken->m_organisation, classOf(taken->m_rank)};
            for (const std::pair<const CallNumber, std::pair<NameNumber, int>> &other : waiting) {
                if (other.second.second < key.second
                    || (other.second == key && other.first < taken->m_call))
                    FAIL("a call that goes first is still waiting");
            }
            CHECK(waiting.erase(taken->m_call) == 1);
        }
        REQUIRE(queue.m_size == waiting.size());
    }
}

// Guards against work on calls that cannot end before their deadline.
TEST_CASE("A call that cannot meet its deadline is refused on arrival and on dequeue")
{
    Admission admission = busyAdmission();
    AdmissionEffects effects;
    finishCall(admission, CallResult::Success, 50ms, 50ms, Start, effects);
    arrive(admission, callOf(2, 1, 0), Start, effects);
    CHECK(arrive(admission, callOf(3, 1, 0, 30ms), Start, effects).m_reason
          == Reason::DeadlineTooShort);
    CHECK(arrive(admission, callOf(4, 1, 0, 60ms), Start, effects).m_verdict == Verdict::Wait);
    CHECK(arrive(admission, callOf(5, 1, 0, 60ms), Start, effects).m_reason
          == Reason::DeadlineTooShort);
    effects = {};
    finishCall(admission, CallResult::Success, 50ms, 50ms, Start + 20ms, effects);
    REQUIRE(effects.m_refused.size() == 1);
    CHECK(effects.m_refused[0].m_call == 4);
    CHECK(effects.m_refused[0].m_reason == Reason::DeadlineTooShort);
}

// Guards against a standing queue that adds its delay to the latency of each call.
TEST_CASE("The sojourn time is bounded by 100 ms, and by 5 ms while the queue stands")
{
    Admission admission = busyAdmission();
    AdmissionEffects effects;
    arrive(admission, callOf(2, 1, 0), Start, effects);
    tick(admission, Start + 99ms, effects);
    CHECK(effects.m_refused.empty());
    arrive(admission, callOf(3, 1, 0), Start + 99ms, effects);
    tick(admission, Start + 101ms, effects);
    REQUIRE(effects.m_refused.size() == 1);
    CHECK(effects.m_refused[0].m_call == 2);
    CHECK(effects.m_refused[0].m_reason == Reason::SojournExceeded);
    tick(admission, Start + 105ms, effects);
    CHECK(effects.m_refused.size() == 2);
}

// Guards against starting cancelled calls.
TEST_CASE("A cancelled call never starts")
{
    Admission admission = busyAdmission();
    AdmissionEffects effects;
    arrive(admission, callOf(2, 1, 0), Start, effects);
    CHECK(cancelWaiting(admission, 2));
    finishCall(admission, CallResult::Success, 1ms, 1ms, Start, effects);
    CHECK(effects.m_started.empty());
    CHECK(admission.m_inFlight == 0);
}

// Guards against new work for a leaving backend server.
TEST_CASE("A leaving node refuses new calls")
{
    Admission admission = coldAdmission(AdmissionSettings{}, 4);
    admission.m_leaving = true;
    AdmissionEffects effects;
    CHECK(arrive(admission, callOf(1, 1, 0), Start, effects).m_reason == Reason::Leaving);
}

// Guards against an unbounded queue, and against refusing an important call while less important
// ones wait.
TEST_CASE("A full queue gives the place of its least important call to a more important one")
{
    Admission admission = busyAdmission();
    admission.m_settings.m_maximumQueued = 2;
    AdmissionEffects effects;
    arrive(admission, callOf(2, 1, rankOf(3, 0)), Start, effects);
    arrive(admission, callOf(3, 1, rankOf(5, 0)), Start, effects);
    CHECK(arrive(admission, callOf(4, 1, rankOf(5, 0)), Start, effects).m_reason
          == Reason::QueueFull);
    CHECK(arrive(admission, callOf(5, 1, rankOf(0, 0)), Start, effects).m_verdict == Verdict::Wait);
    REQUIRE(effects.m_refused.size() == 1);
    CHECK(effects.m_refused[0].m_call == 3);
    CHECK(effects.m_refused[0].m_reason == Reason::DisplacedByMoreImportant);
}

// Guards against a rank order that does not compare priority first and over-use level second.
TEST_CASE("The rank orders by priority, then over-use level, then hash")
{
    chervilmount::model::RequestId first{};
    chervilmount::model::RequestId second{};
    second[3] = 9;
    CHECK(makeRank(0, 3, first) < makeRank(1, 0, second));
    CHECK(makeRank(2, 0, first) < makeRank(2, 1, second));
    CHECK(makeRank(4, 1, first) == makeRank(4, 1, first));
    CHECK(makeRank(7, 3, first) <= HighestRank);
    CHECK(priorityOf(makeRank(5, 2, first)) == 5);
    CHECK(overUseLevel(100.0, 100.0, 0) == 0);
    CHECK(overUseLevel(500.0, 100.0, 0) == 3);
    CHECK(overUseLevel(100.0, 100.0, 2) == 2);
}

// Guards against a threshold that stays low after the overload has ended.
TEST_CASE("A carried threshold rises in steps of 1 s without confirmation")
{
    CarriedThreshold threshold;
    confirmThreshold(threshold, 1000, Start);
    CHECK(thresholdNow(threshold, Start + 999ms) == 1000);
    const Rank afterOne = thresholdNow(threshold, Start + 1s);
    const Rank afterTwo = thresholdNow(threshold, Start + 2s);
    CHECK(afterOne > 1000);
    CHECK(afterTwo > afterOne);
    CHECK(thresholdNow(threshold, Start + 5s) == HighestRank);
}

// Guards against an entry node that never detects that the subtree admits requests again.
TEST_CASE("The entry sends about 1 % of the requests above the threshold as probes")
{
    std::mt19937_64 random(3);
    std::chrono::steady_clock::time_point lastProbe = Start;
    int probes = 0;
    for (int request = 0; request < 100000; ++request)
        probes += decideByThreshold(2000, 1000, lastProbe, Start, random).m_sendOn ? 1 : 0;
    CHECK(probes > 800);
    CHECK(probes < 1200);
    CHECK(decideByThreshold(1000, 1000, lastProbe, Start, random).m_reason
          == Reason::BelowThreshold);
    // At low demand there is a probe at least every 250 ms.
    CHECK(decideByThreshold(2000, 1000, lastProbe, Start + 250ms, random).m_reason
          == Reason::Probe);
    CHECK(lastProbe == Start + 250ms);
}

// Guards against a threshold that sheds when there is no overload, or does not shed in overload.
TEST_CASE("The own threshold falls to what the server can take and rises again")
{
    OwnThreshold threshold;
    std::mt19937_64 random(5);
    std::chrono::steady_clock::time_point now = Start;
    const double capacity = 1000.0;
    updateThreshold(threshold, capacity, now);
    for (int window = 0; window < 50; ++window) {
        for (int call = 0; call < 300; ++call) {
            const Rank rank = static_cast<Rank>(random() % RanksPerClass);
            recordArrival(threshold, rank);
            if (call >= 100 && rank <= threshold.m_rank)
                recordOverloadRefusal(threshold);
        }
        updateThreshold(threshold, capacity, now += 100ms);
    }
    CHECK(threshold.m_rank > 50);
    CHECK(threshold.m_rank < 128);
    for (int window = 0; window < 20; ++window) {
        for (int call = 0; call < 80; ++call)
            recordArrival(threshold, static_cast<Rank>(random() % RanksPerClass));
        updateThreshold(threshold, capacity, now += 100ms);
    }
    CHECK(threshold.m_rank == HighestRank);
}
