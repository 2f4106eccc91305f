#include "membership/checker.h"
#include "membership/schedule.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <thread>

using namespace chervilmount;
using namespace chervilmount::membership;
using namespace chervilmount::simulation;

namespace {

constexpr std::uint64_t DefaultSchedules = 10000;
constexpr std::uint64_t Threads = 3;

std::uint64_t scheduleCount()
{
    const char *value = std::getenv("CHERVILMOUNT_SCHEDULES");
    return value ? std::strtoull(value, nullptr, 10) : DefaultSchedules;
}

void printTrace(std::uint64_t seed, DisabledRule disabledRule)
{
    std::cout << "seed " << seed << ":\n";
    for (const std::string &line : runSchedule(seed, disabledRule, true).m_trace)
        std::cout << "  " << line << "\n";
}

struct Sum
{
    ScheduleResult m_result;
    /** Lowest seed with a violation. */
    std::optional<std::uint64_t> m_failingSeed;
    std::uint64_t m_failingSchedules = 0;
};

/** Runs the seeds 1 to count on several threads; the schedules are independent. */
Sum runSchedules(std::uint64_t count, DisabledRule disabledRule)
{
    Sum sum;
    std::mutex mutex;
    std::vector<std::thread> threads;
    for (std::uint64_t first = 1; first <= Threads; ++first) {
        threads.emplace_back([&, first] {
            for (std::uint64_t seed = first; seed <= count; seed += Threads) {
                const ScheduleResult result = runSchedule(seed, disabledRule, false);
                const std::lock_guard<std::mutex> lock(mutex);
                merge(sum.m_result, result);
                if (result.m_violations.empty())
                    continue;
                ++sum.m_failingSchedules;
                if (std::getenv("CHERVILMOUNT_TRACE_ALL"))
                    printTrace(seed, disabledRule);
                sum.m_failingSeed = std::min(sum.m_failingSeed.value_or(seed), seed);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return sum;
}

void checkNoticed(DisabledRule rule, const std::string &expected)
{
    const Sum sum = runSchedules(200, rule);
    INFO("violations: " << sum.m_result.m_violations.size());
    CHECK(std::any_of(
            sum.m_result.m_violations.begin(), sum.m_result.m_violations.end(),
            [&](const std::string &text) { return text.find(expected) != std::string::npos; }));
}

} // namespace

TEST_CASE("Random schedules of faults keep the stated times")
{
    const Sum sum = runSchedules(scheduleCount(), DisabledRule::None);
    const ScheduleResult &result = sum.m_result;
    std::cout << "schedules " << scheduleCount() << ", leaves " << result.m_leaves << ", crashes "
              << result.m_failures << "; longest times in ms: convergence "
              << result.m_convergence.count() << ", removal " << result.m_removal.count()
              << ", leaving " << result.m_leaving.count() << ", failure "
              << result.m_failure.count() << "; failing schedules " << sum.m_failingSchedules
              << "\n";
    if (sum.m_failingSeed)
        printTrace(*sum.m_failingSeed, DisabledRule::None);
    CHECK(result.m_violations == std::vector<std::string>{});
}

TEST_CASE("The checker notices that a live node does not refute its failure")
{
    checkNoticed(DisabledRule::Refutation, "has removed the live node");
}

TEST_CASE("The checker notices that lost changes are not reconciled")
{
    checkNoticed(DisabledRule::Reconciliation, "no agreement");
}

TEST_CASE("The checker notices that the order of versions is not kept")
{
    checkNoticed(DisabledRule::VersionOrder, "has removed the live node");
}

// Guards against changes that are not forwarded. The schedules cannot detect this: in their small
// deployments reconciliation alone spreads a change within 3 s.
TEST_CASE("The checker notices that a leave is not spread over several hops")
{
    for (const DisabledRule rule : {DisabledRule::None, DisabledRule::Dissemination}) {
        Simulation network(1);
        std::vector<MemberRecord> records;
        for (std::size_t node = 0; node < 300; ++node) {
            MembershipSettings settings;
            settings.m_disabledRule = rule;
            records.push_back({{"d0", "0." + std::to_string(node) + ":1"}, 1, 1, {}, "s", 1, {}});
            records.back().m_state = MemberState::Serving;
            network.addNode(records.back().m_id, settings);
        }
        for (std::size_t node = 0; node < 300; ++node)
            network.startWithTable(node, records);
        network.runUntil(network.now() + Milliseconds(5000));
        Checker checker(network);
        network.apply(7, LeaveStarted{});
        checker.expectLeaving(7);
        for (int sample = 0; sample < 20; ++sample) {
            network.runUntil(network.now() + SampleInterval);
            checker.sample();
        }
        CHECK(checker.m_result.m_violations.empty() == (rule == DisabledRule::None));
    }
}
