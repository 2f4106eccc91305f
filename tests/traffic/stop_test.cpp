#include "traffic/stop/stop.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::steady_clock::time_point Start{1000s};

/** A stop of which one phase ends each second. */
Stop makeStop()
{
    Stop stop;
    stop.m_settings = {2000ms, 1000ms, 5000ms, 400ms};
    stop.m_requestedAt = Start;
    return stop;
}

} // namespace

// Guards against a node that refuses or limits work although nobody asked it to stop.
TEST_CASE("A node that is not being stopped takes all work")
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

// Guards against work that is taken so late in a stop that it is cut off.
TEST_CASE("The phases of a stop follow each other")
{
    const Stop stop = makeStop();
    CHECK(servesOthers(stop, Start + 999ms));
    CHECK_FALSE(servesOthers(stop, Start + 1000ms));
    CHECK(servesCallers(stop, Start + 1999ms));
    CHECK_FALSE(servesCallers(stop, Start + 2000ms));
    CHECK_FALSE(givesUp(stop, Start + 4799ms));
    CHECK(givesUp(stop, Start + 4800ms));
}

// Guards against nested calls of which the end comes after that of the process.
TEST_CASE("A nested call is taken while it can end in time")
{
    const Stop stop = makeStop();
    CHECK(servesNestedCall(stop, 500ms, Start + 4100ms));
    CHECK_FALSE(servesNestedCall(stop, 500ms, Start + 4101ms));
    CHECK(servesNestedCall(stop, 5ms, Start + 4595ms));
    CHECK(latestDeadline(stop) == Start + 4600ms);
}

// Guards against a process that ends under its callers, and against one that is killed by the
// platform because it waits too long.
TEST_CASE("A stop ends when nothing is left, or when its time is up")
{
    const Stop stop = makeStop();
    CHECK_FALSE(hasEnded(stop, false, Start + 1999ms));
    CHECK(hasEnded(stop, false, Start + 2000ms));
    CHECK_FALSE(hasEnded(stop, true, Start + 4999ms));
    CHECK(hasEnded(stop, true, Start + 5000ms));
}
