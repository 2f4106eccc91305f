#include "traffic/stop/stop.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::steady_clock::time_point Start{1000s};

/** A graceful shutdown whose phases end one second apart. */
Stop makeStop()
{
    Stop stop;
    stop.m_settings = {2000ms, 1000ms, 5000ms, 400ms};
    stop.m_requestedAt = Start;
    return stop;
}

} // namespace

// Guards against a node that refuses or limits work without a shutdown request.
TEST_CASE("A node without a shutdown request accepts all work")
{
    const Stop stop;
    CHECK_FALSE(isStopping(stop));
    CHECK(servesCallers(stop, Start));
    CHECK(servesOthers(stop, Start));
    CHECK(servesNestedCall(stop, 100s, Start));
    CHECK(latestDeadline(stop) == std::chrono::steady_clock::time_point::max());
    CHECK_FALSE(givesUp(stop, Start));
    CHECK_FALSE(hasEnded(stop, false, Start));
}

// Guards against accepting work so late in a shutdown that it is aborted.
TEST_CASE("The phases of a shutdown follow each other")
{
    const Stop stop = makeStop();
    CHECK(servesOthers(stop, Start + 999ms));
    CHECK_FALSE(servesOthers(stop, Start + 1000ms));
    CHECK(servesCallers(stop, Start + 1999ms));
    CHECK_FALSE(servesCallers(stop, Start + 2000ms));
    CHECK_FALSE(givesUp(stop, Start + 4799ms));
    CHECK(givesUp(stop, Start + 4800ms));
}

// Guards against nested calls that would end after the process.
TEST_CASE("A nested call is accepted while it can end in time")
{
    const Stop stop = makeStop();
    CHECK(servesNestedCall(stop, 500ms, Start + 4100ms));
    CHECK_FALSE(servesNestedCall(stop, 500ms, Start + 4101ms));
    CHECK(servesNestedCall(stop, 5ms, Start + 4595ms));
    CHECK(latestDeadline(stop) == Start + 4600ms);
}

// Guards against a process that exits while callers are still served, and against one that the
// platform kills because it exceeds the maximum shutdown time.
TEST_CASE("A shutdown ends when nothing is left, or at its maximum duration")
{
    const Stop stop = makeStop();
    CHECK_FALSE(hasEnded(stop, false, Start + 1999ms));
    CHECK(hasEnded(stop, false, Start + 2000ms));
    CHECK_FALSE(hasEnded(stop, true, Start + 4999ms));
    CHECK(hasEnded(stop, true, Start + 5000ms));
}
