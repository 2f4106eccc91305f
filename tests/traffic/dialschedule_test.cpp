#include "traffic/dial/dialschedule.h"

#include <catch2/catch.hpp>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::steady_clock::time_point Start{100s};

/** Fails attempts, each after its time-out, until the given time. @returns the number of attempts.
 */
int failUntil(DialSchedule &schedule, std::chrono::steady_clock::time_point end)
{
    const DialSettings settings;
    int attempts = 0;
    while (schedule.m_nextAt < end) {
        ++attempts;
        dialFailed(schedule, settings, schedule.m_nextAt + settings.m_timeout);
    }
    return attempts;
}

} // namespace

// Guards against a node that has never been linked and is therefore taken as gone for long: after a
// loss of power it was dialled again only after four seconds.
TEST_CASE("A node that has just become known is dialled again soon after a failure")
{
    const DialSettings settings;
    DialSchedule schedule;
    restartDialling(schedule, Start);
    CHECK(schedule.m_nextAt == Start);
    dialFailed(schedule, settings, Start + 1s);
    CHECK(schedule.m_nextAt == Start + 1s + settings.m_minimumDelay);
}

// Guards against dialling machines that are gone for good as often as others, which costs a large
// fleet an attempt a second for each of them at each node.
TEST_CASE("A node that is gone is dialled rarely, and at once when it starts again")
{
    const DialSettings settings;
    DialSchedule schedule;
    restartDialling(schedule, Start);
    const int first = failUntil(schedule, Start + 30s);
    const int second = failUntil(schedule, Start + 60s);
    CHECK(second < first / 2);
    CHECK(schedule.m_delay == settings.m_delayWhenGone);
    restartDialling(schedule, Start + 60s);
    CHECK(schedule.m_nextAt == Start + 60s);
    dialFailed(schedule, settings, Start + 61s);
    CHECK(schedule.m_delay == settings.m_minimumDelay);
}

TEST_CASE("The delay doubles with each failure and starts anew with a link")
{
    const DialSettings settings;
    DialSchedule schedule;
    restartDialling(schedule, Start);
    dialFailed(schedule, settings, Start);
    dialFailed(schedule, settings, Start);
    CHECK(schedule.m_delay == settings.m_minimumDelay * 2);
    linkEstablished(schedule);
    linkLost(schedule, settings, Start + 5s);
    CHECK(schedule.m_nextAt == Start + 5s + settings.m_minimumDelay);
    dialFailed(schedule, settings, Start + 6s);
    CHECK(schedule.m_delay == settings.m_minimumDelay);
}
