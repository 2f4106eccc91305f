#include "overload/limit/concurrencylimit.h"

#include <catch2/catch.hpp>

using namespace chervilmount::overload;
using namespace std::chrono_literals;

namespace {

/** Ends calls at a fixed rate with all slots in use; returns the time after the last. */
std::chrono::steady_clock::time_point run(ConcurrencyLimit &limit, CallResult result,
                                          std::chrono::nanoseconds latency, int calls,
                                          std::chrono::steady_clock::time_point now)
{
    for (int call = 0; call < calls; ++call) {
        now += 2ms;
        recordResult(limit, LimitSettings{}, result, latency, limitNow(limit), now);
    }
    return now;
}

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

} // namespace

// Guards against sending a cold backend server its full load immediately.
TEST_CASE("A cold limit starts at 4 and grows to the announced slots while used")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    CHECK(limitNow(limit) == 4);
    run(limit, CallResult::Success, 20ms, 100, Start);
    CHECK(limitNow(limit) == 50);
}

// Guards against a limit that grows without evidence that the backend server can handle more.
TEST_CASE("An unused limit does not grow")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    std::chrono::steady_clock::time_point now = Start;
    for (int call = 0; call < 500; ++call)
        recordResult(limit, LimitSettings{}, CallResult::Success, 20ms, 1, now += 2ms);
    CHECK(limitNow(limit) == 4);
}

// Guards against a hanging backend server that keeps its slots.
TEST_CASE("Timeouts lower the limit to 1")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    const std::chrono::steady_clock::time_point now =
            run(limit, CallResult::Success, 20ms, 200, Start);
    run(limit, CallResult::Timeout, 2s, 1000, now);
    CHECK(limitNow(limit) == 1);
}

// Guards against counting fast refusals as low latency.
TEST_CASE("Fast refusals by the server lower the limit")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    std::chrono::steady_clock::time_point now = run(limit, CallResult::Success, 20ms, 200, Start);
    const double baseline = limit.m_baseline;
    now = run(limit, CallResult::ServerRefused, 1ms, 1000, now);
    CHECK(limitNow(limit) == 1);
    CHECK(limit.m_baseline == baseline);
}

// Guards against a limit that ignores latency that rises with concurrency.
TEST_CASE("The limit falls while a lower limit lowers the latency")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    std::chrono::steady_clock::time_point now = run(limit, CallResult::Success, 20ms, 200, Start);
    int lowest = 50;
    for (int call = 0; call < 2000; ++call) {
        // The server has capacity for five concurrent calls; more calls share it.
        const double factor = limitNow(limit) / 5.0;
        now += 2ms;
        recordResult(limit, LimitSettings{}, CallResult::Success,
                     std::chrono::nanoseconds{static_cast<long>(20e6 * std::max(1.0, factor))},
                     limitNow(limit), now);
        lowest = std::min(lowest, limitNow(limit));
    }
    CHECK(lowest <= 10);
}

// Guards against lost goodput when a server is slow for a reason other than concurrency.
TEST_CASE("The limit recovers if lowering it does not lower the latency")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    const std::chrono::steady_clock::time_point now =
            run(limit, CallResult::Success, 20ms, 200, Start);
    run(limit, CallResult::Success, 200ms, 500, now);
    CHECK(limitNow(limit) == 50);
}

// Guards against load reports that raise the limit above what the server has proved to handle.
TEST_CASE("Load reports only lower the limit")
{
    ConcurrencyLimit limit = coldLimit(LimitSettings{}, 50);
    reportFreeShare(limit, 1.0);
    CHECK(limitNow(limit) == 4);
    reportFreeShare(limit, 0.04);
    CHECK(limitNow(limit) == 2);
    announceSlots(limit, 100);
    CHECK(limitNow(limit) <= 4);
}
