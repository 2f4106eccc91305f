#include "sharedstate/sharedstate.h"

#include <catch2/catch.hpp>

using namespace chervilmount::sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

namespace {

ClaimWanted wanted(std::uint64_t call, TimePoint now)
{
    return {call, "org", toHex(call), "digest", now + seconds(2)};
}

RowWrite writeOf(const std::string &row)
{
    RowWrite write;
    write.m_row = row;
    return write;
}

} // namespace

// Guards against one store write per claim; the store accepts only a few hundred writes a second.
TEST_CASE("Claims share a transaction of up to 64 rows or 5 ms")
{
    ClaimState state;
    std::mt19937_64 random(1);
    const TimePoint start{seconds(100)};
    for (std::uint64_t call = 0; call < 63; ++call)
        CHECK(step(state, wanted(call, start), start, random).m_store.empty());
    const ClaimEffects full = step(state, wanted(63, start), start, random);
    REQUIRE(full.m_store.size() == 1);
    CHECK(std::get<RowTransaction>(full.m_store[0].m_operation).m_writes.size() == 64);

    step(state, wanted(64, start), start, random);
    CHECK(step(state, ClaimTick{}, start + milliseconds(4), random).m_store.empty());
    CHECK(step(state, ClaimTick{}, start + milliseconds(5), random).m_store.size() == 1);
}

// Guards against requests that wait for their deadline although the store is known to be down.
TEST_CASE("While the store is down a once-only request is refused as not run at once")
{
    ClaimState state;
    std::mt19937_64 random(1);
    const TimePoint start{seconds(100)};
    step(state, wanted(1, start), start, random);
    const ClaimEffects sent = step(state, ClaimTick{}, start + milliseconds(5), random);
    REQUIRE(sent.m_store.size() == 1);
    StoreResult away;
    away.m_id = sent.m_store[0].m_id;
    away.m_outcome = StoreOutcome::NotApplied;
    const ClaimEffects refused = step(state, away, start + milliseconds(6), random);
    REQUIRE(refused.m_decisions.size() == 1);
    CHECK(refused.m_decisions[0].m_verdict == ClaimVerdict::RefuseNotRun);
    CHECK(refused.m_store.empty());
    CHECK(state.m_calls.empty());
}

// Guards against a relay that returns one node's results to another node.
TEST_CASE("A relayed batch is split by entry node")
{
    ClaimRelayState relay;
    const TimePoint start{seconds(100)};
    relayClaims(relay, "a", {7, {writeOf("claims/org/1")}}, start);
    relayClaims(relay, "b", {9, {writeOf("claims/org/2"), writeOf("claims/org/3")}}, start);
    const ClaimRelayEffects sent = relayTick(relay, start + milliseconds(5));
    REQUIRE(sent.m_store.size() == 1);
    StoreResult result;
    result.m_id = sent.m_store[0].m_id;
    result.m_outcome = StoreOutcome::Done;
    result.m_writes = {{true, 11, {}}, {false, 5, {}}, {true, 13, {}}};
    const ClaimRelayEffects split = relayResult(relay, result);
    REQUIRE(split.m_results.size() == 2);
    CHECK(split.m_results[0].m_to == "a");
    CHECK(split.m_results[0].m_result.m_request == 7);
    CHECK(split.m_results[0].m_result.m_writes.at(0).m_revision == 11);
    CHECK(split.m_results[1].m_to == "b");
    CHECK_FALSE(split.m_results[1].m_result.m_writes.at(0).m_applied);
    CHECK(split.m_results[1].m_result.m_writes.at(1).m_revision == 13);
}
