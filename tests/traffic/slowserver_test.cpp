#include "traffic/placement/completionmeter.h"
#include "traffic/placement/placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

using namespace chervilmount;
using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

using Milliseconds = std::chrono::milliseconds;

/**
 * Replays the load on four backend servers of one service, two of which turn slow at once:
 * 72 requests a second of 220 ms with a time limit of 1.2 s, reports every 200 ms.
 */
class SlowServers
{
public:
    static constexpr double RequestsPerSecond = 72.0;
    static constexpr double WorkMilliseconds = 220.0;
    static constexpr int TimeLimitMilliseconds = 1200;
    static constexpr int ReportMilliseconds = 200;
    static constexpr double SlowFactor = 12.0;
    static constexpr int SlowFromMilliseconds = 5000;

    SlowServers()
    {
        for (std::size_t server = 0; server < Servers; ++server) {
            m_targets.at(server).m_node = std::to_string(server);
            m_targets.at(server).m_load = {51, 0, 0, WorkMilliseconds / 1000.0};
            // Two failure domains in each of two regions.
            constexpr std::array<routing::Place, Servers> Places{
                    routing::Place::SameFailureDomain, routing::Place::OtherRegion,
                    routing::Place::SameRegion, routing::Place::OtherRegion};
            m_targets.at(server).m_place = Places.at(server);
            m_pointers.push_back(&m_targets.at(server));
        }
    }

    void play(int milliseconds)
    {
        std::poisson_distribution<int> arrivals(RequestsPerSecond / 1000.0);
        for (; m_time < milliseconds; ++m_time) {
            finishRuns();
            if (m_time % ReportMilliseconds == 0)
                report();
            for (int count = arrivals(m_random); count > 0; --count)
                start();
        }
    }

    /** @returns the number of requests that ran into their time limit. */
    int lost() const { return m_lost; }

private:
    static constexpr std::size_t Servers = 4;

    struct Run
    {
        int m_startedAt = 0;
        int m_endsAt = 0;
    };

    std::chrono::steady_clock::time_point now() const
    {
        return std::chrono::steady_clock::time_point(1h) + Milliseconds(m_time);
    }

    void start()
    {
        const std::optional<Placement> placement = choosePlacement(
                m_pointers, {{}, false, WorkMilliseconds / 1000.0}, m_settings, m_random, now());
        const std::size_t server = placement->m_index;
        ++m_targets.at(server).m_sentSinceReport;
        const bool isSlow = server < Servers / 2 && m_time >= SlowFromMilliseconds;
        std::lognormal_distribution<double> spread(0.0, 0.3);
        const double work = WorkMilliseconds * spread(m_random) * (isSlow ? SlowFactor : 1.0);
        m_runs.at(server).push_back({m_time, m_time + static_cast<int>(work)});
        startMeteredRun(m_meters.at(server), Expected, now());
    }

    void finishRuns()
    {
        for (std::size_t server = 0; server < Servers; ++server) {
            std::erase_if(m_runs.at(server), [&](const Run &run) {
                const int age = m_time - run.m_startedAt;
                const bool isLost = age >= TimeLimitMilliseconds;
                if (!isLost && run.m_endsAt > m_time)
                    return false;
                m_lost += isLost ? 1 : 0;
                recordHold(m_holds.at(server), Milliseconds(age), Expected, now());
                endMeteredRun(m_meters.at(server), Expected, Milliseconds(age), !isLost, now());
                return true;
            });
        }
    }

    /** @returns the age of the oldest run in units of the expected hold time. */
    double longestRun(const std::vector<Run> &runs) const
    {
        int oldest = m_time;
        for (const Run &run : runs)
            oldest = std::min(oldest, run.m_startedAt);
        return (m_time - oldest) / WorkMilliseconds;
    }

    void report()
    {
        for (std::size_t server = 0; server < Servers; ++server) {
            Target &target = m_targets.at(server);
            target.m_load.m_running = static_cast<int>(m_runs.at(server).size());
            target.m_load.m_relativeHold = currentRelativeHold(
                    m_holds.at(server), m_meters.at(server), longestRun(m_runs.at(server)), now());
            target.m_sentSinceReport = 0;
        }
    }

    static constexpr std::chrono::duration<double> Expected{WorkMilliseconds / 1000.0};

    PlacementSettings m_settings;
    std::array<Target, Servers> m_targets;
    std::vector<const Target *> m_pointers;
    std::array<RelativeHold, Servers> m_holds;
    std::array<CompletionMeter, Servers> m_meters;
    std::array<std::vector<Run>, Servers> m_runs;
    int m_time = 0;
    int m_lost = 0;
    std::mt19937_64 m_random{1};
};

} // namespace

// Guards against a backend server that turns slow and gets its share of the requests until the
// first of them have reached their time limit.
TEST_CASE("Backend servers that turn slow are left before their runs reach the time limit")
{
    SlowServers servers;
    servers.play(SlowServers::SlowFromMilliseconds);
    REQUIRE(servers.lost() == 0);
    servers.play(SlowServers::SlowFromMilliseconds + 4000);
    // Half of the requests of the first half second, and the 2 % that keep the measurement current.
    constexpr double LostSeconds = 0.5;
    constexpr double ExploringSeconds = 4.0;
    const double bound = SlowServers::RequestsPerSecond
            * (LostSeconds / 2 + ExploringSeconds * PlacementSettings{}.m_explorationShare);
    CHECK(servers.lost() <= bound);
}

// Guards against a backend server that is left because a few of its runs are long, or because more
// requests arrive than before.
TEST_CASE("Long runs and a surge do not make a backend server slow")
{
    const std::chrono::steady_clock::time_point start(1h);
    const std::chrono::duration<double> expected{0.2};
    RelativeHold hold;
    recordHold(hold, 200ms, 200ms, start);
    CompletionMeter meter;
    std::vector<std::pair<int, int>> runs;
    double highest = 0.0;
    for (int time = 0; time < 10000; ++time) {
        const std::chrono::steady_clock::time_point now = start + Milliseconds(time);
        // 50 requests a second, 150 from the fifth second on; a few last four times as long.
        if (time % (time < 5000 ? 20 : 7) == 0) {
            startMeteredRun(meter, expected, now);
            runs.emplace_back(time, time + (time % 400 == 0 ? 800 : 170));
        }
        double longest = 0.0;
        std::erase_if(runs, [&](const std::pair<int, int> &run) {
            longest = std::max(longest, (time - run.first) / 200.0);
            if (run.second > time)
                return false;
            endMeteredRun(meter, expected, Milliseconds(time - run.first), true, now);
            return true;
        });
        highest = std::max(highest, currentRelativeHold(hold, meter, longest, now));
    }
    CHECK(highest == Approx(1.0));
}
