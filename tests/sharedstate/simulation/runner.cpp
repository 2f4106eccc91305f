#include "sharedstate/simulation/runner.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

namespace chervilmount::simulation {

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr int DefaultSchedules = 500;
#else
constexpr int DefaultSchedules = 10000;
#endif

} // namespace

int scheduleCount()
{
    const char *text = std::getenv("CHERVILMOUNT_SCHEDULES");
    const int count = text == nullptr ? 0 : std::atoi(text);
    return count > 0 ? count : DefaultSchedules;
}

void checkSchedules(const std::string &name, std::uint64_t firstSeed, int slice, int slices,
                    const Schedule &schedule)
{
    std::uint64_t observations = 0;
    int run = 0;
    for (int index = slice; index < scheduleCount(); index += slices) {
        const std::uint64_t seed = firstSeed + static_cast<std::uint64_t>(index);
        const ScheduleResult result = schedule(seed, false);
        observations += result.m_observations;
        ++run;
        if (result.m_violation.empty())
            continue;
        const ScheduleResult traced = schedule(seed, true);
        FAIL(name << ", seed " << seed << ": " << result.m_violation << "\n" << traced.m_trace);
    }
    std::cout << name << ": " << run << " schedules, " << observations << " observations, seeds "
              << firstSeed + static_cast<std::uint64_t>(slice) << " + " << slices << "n\n";
    CHECK(observations > static_cast<std::uint64_t>(run));
}

void checkViolationFound(const std::string &brokenRule, std::uint64_t firstSeed, int limit,
                         const Schedule &schedule)
{
    for (int index = 0; index < limit; ++index) {
        const std::uint64_t seed = firstSeed + static_cast<std::uint64_t>(index);
        const ScheduleResult result = schedule(seed, false);
        if (result.m_violation.empty())
            continue;
        std::cout << "broken rule \"" << brokenRule << "\": found at schedule " << index + 1
                  << " (seed " << seed << "): " << result.m_violation << "\n";
        SUCCEED();
        return;
    }
    FAIL("broken rule \"" << brokenRule << "\" was not found in " << limit << " schedules");
}

} // namespace chervilmount::simulation
