#include "traffic/retry/repeatbudget.h"
#include "traffic/retry/secondattempt.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

const TimePoint Start{std::chrono::hours{1}};

/** Specified bound of the retries in a window. @{ */
constexpr double AllowedRatio = 0.2;
constexpr std::chrono::milliseconds Window = 10s;
/** @} */

/** First attempts and retries of one service, at all nodes, by milliseconds. */
class ServiceHistory
{
public:
    explicit ServiceHistory(int milliseconds)
        : m_firstAttempts(static_cast<std::size_t>(milliseconds))
        , m_retries(static_cast<std::size_t>(milliseconds))
    {
    }

    void addFirstAttempt(int time) { ++m_firstAttempts.at(static_cast<std::size_t>(time)); }
    void addRetry(int time) { ++m_retries.at(static_cast<std::size_t>(time)); }

    /** @returns the largest excess of the retries in a window over the specified ratio. The first
     * attempts are those of this window, the one before it or the one half a window before it,
     * whichever has most. */
    double largestExcess() const
    {
        const int window = static_cast<int>(Window.count());
        double largest = 0.0;
        for (int start = 0; start < static_cast<int>(m_retries.size()); start += 50) {
            const double attempts =
                    std::max({sum(m_firstAttempts, start), sum(m_firstAttempts, start - window / 2),
                              sum(m_firstAttempts, start - window)});
            largest = std::max(largest, sum(m_retries, start) - AllowedRatio * attempts);
        }
        return largest;
    }

private:
    static double sum(const std::vector<int> &counts, int start)
    {
        const int end = start + static_cast<int>(Window.count());
        double result = 0.0;
        for (int time = std::max(0, start); time < std::min<int>(end, counts.size()); ++time)
            result += counts.at(static_cast<std::size_t>(time));
        return result;
    }

    std::vector<int> m_firstAttempts;
    std::vector<int> m_retries;
};

} // namespace

// Guards against retry amplification under failures; the specified bound is a fifth.
TEST_CASE("Retries stay below a fifth of the first attempts")
{
    RepeatBudget budget;
    int repeats = 0;
    for (int request = 0; request < 1000; ++request) {
        const TimePoint now = Start + request * 20ms;
        recordFirstAttempt(budget, "slips", now);
        while (takeRepeat(budget, "slips", true, {}, now))
            ++repeats;
    }
    CHECK(repeats <= 200);
    CHECK(repeats >= 100);
}

// Guards against retries that accumulate during an hour without failures and are spent at once.
TEST_CASE("Retries accumulate over two windows at most")
{
    RepeatBudget budget;
    constexpr int PerSecond = 100;
    TimePoint now = Start;
    for (int request = 0; request < 3600 * PerSecond; ++request, now += 10ms)
        recordFirstAttempt(budget, "slips", now);
    int repeats = 0;
    while (takeRepeat(budget, "slips", true, {}, now))
        ++repeats;
    CHECK(repeats <= AllowedRatio * PerSecond * 10);
    // Nothing is left of them after two windows without requests.
    now += 2 * Window + 1s;
    int later = 0;
    while (takeRepeat(budget, "slips", true, {}, now))
        ++later;
    CHECK(later <= 1);
}

// Guards against a sum over all nodes that exceeds the specified bound although each node keeps its
// own: demand that moves from node to node, surges and falls while all calls fail.
TEST_CASE("The retries of all nodes together stay within the specified bound")
{
    const unsigned seed = GENERATE(range(1U, 21U));
    CAPTURE(seed);
    std::mt19937_64 random{seed};
    constexpr int Nodes = 16;
    constexpr int Milliseconds = 60000;
    std::array<RepeatBudget, Nodes> budgets;
    std::array<double, Nodes> perSecond{};
    ServiceHistory history(Milliseconds);
    bool fails = false;
    for (int time = 0; time < Milliseconds; ++time) {
        if (time % 2000 == 0) {
            const double surge = std::uniform_real_distribution<double>(0.1, 2.0)(random);
            for (double &rate : perSecond)
                rate = surge * std::uniform_real_distribution<double>(0.0, 100.0)(random);
            fails = random() % 3 != 0;
        }
        for (std::size_t node = 0; node < Nodes; ++node) {
            if (std::uniform_real_distribution<double>()(random) >= perSecond.at(node) / 1000.0)
                continue;
            const TimePoint now = Start + std::chrono::milliseconds(time);
            recordFirstAttempt(budgets.at(node), "slips", now);
            history.addFirstAttempt(time);
            for (int attempt = 0; fails && attempt < 3; ++attempt) {
                if (takeRepeat(budgets.at(node), "slips", random() % 2 == 0, {}, now))
                    history.addRetry(time);
            }
        }
    }
    // The specified slack for 16 nodes, of which resends beside backend servers take half.
    CHECK(history.largestExcess() <= 47.0 / 2);
}

// Guards against a budget that shrinks just when it is needed: requests that fail at their first
// nested call make few of them.
TEST_CASE("A fault that makes nested calls rare leaves retries of the time before it")
{
    RepeatBudget budget;
    TimePoint now = Start;
    for (int call = 0; call < 2000; ++call, now += 10ms)
        recordFirstAttempt(budget, "permits", now);
    int repeats = 0;
    for (int call = 0; call < 160; ++call, now += 50ms) {
        recordFirstAttempt(budget, "permits", now);
        for (int attempt = 0; attempt < 2; ++attempt)
            repeats += takeRepeat(budget, "permits", true, {}, now) ? 1 : 0;
    }
    // A fifth of the calls made during the fault would be 32.
    CHECK(repeats >= 80);
}

// Guards against nested calls of retries that exceed the budgets of the services they reach.
TEST_CASE("The nested calls of a retry are charged to the services that they reach")
{
    RepeatBudget budget;
    for (int request = 0; request < 20; ++request) {
        recordFirstAttempt(budget, "slips", Start);
        recordFirstAttempt(budget, "records", Start);
    }
    REQUIRE(hasRepeat(budget, "records", true, Start));
    CHECK(takeRepeat(budget, "slips", true, {{"records", 8.0}}, Start));
    CHECK_FALSE(takeRepeat(budget, "records", true, {}, Start));
    for (int request = 0; request < 120; ++request)
        recordFirstAttempt(budget, "records", Start);
    CHECK(takeRepeat(budget, "records", true, {}, Start));
}

// Guards against less important requests that exhaust the retry budget.
TEST_CASE("Some retries are reserved for the most important requests")
{
    RepeatBudget budget;
    for (int request = 0; request < 200; ++request)
        recordFirstAttempt(budget, "slips", Start);
    while (takeRepeat(budget, "slips", false, {}, Start)) { }
    CHECK(takeRepeat(budget, "slips", true, {}, Start));
    CHECK_FALSE(takeRepeat(budget, "slips", false, {}, Start));
}

TEST_CASE(
        "An attempt at a silent node is doubtful, and one at a backend server that has turned slow")
{
    const SecondAttemptSettings settings;
    RunningAttempt attempt{0.5s, 0.2s, 1.0, 1.0, false};
    CHECK_FALSE(isDoubtful(settings, attempt));
    attempt.m_isSilent = true;
    CHECK(isDoubtful(settings, attempt));
    attempt.m_isSilent = false;
    attempt.m_relativeHold = 5.0;
    CHECK(isDoubtful(settings, attempt));
    attempt.m_age = 0.1s;
    CHECK_FALSE(isDoubtful(settings, attempt));
}

// Guards against repeats that are spent while all backend servers are slow, e.g. after a start.
TEST_CASE("A slow backend server is not doubtful while all others are slow")
{
    const RunningAttempt attempt{1.0s, 0.2s, 5.0, 4.0, false};
    CHECK_FALSE(isDoubtful({}, attempt));
}
