#include "traffic/placement/placement.h"
#include "traffic/placement/relativehold.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

using namespace chervilmount;
using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

class Targets
{
public:
    Target &add(const std::string &node, routing::Place place, int running, double holdSeconds)
    {
        Target &target = m_targets.emplace_back();
        target.m_node = node;
        target.m_place = place;
        target.m_load = {20, running, 0, holdSeconds};
        m_pointers.push_back(&target);
        return target;
    }

    std::string choose(const std::vector<std::string> &tried = {}, bool goesFirst = false)
    {
        const std::optional<Placement> placement = choosePlacement(
                m_pointers, {tried, goesFirst}, PlacementSettings{}, m_random, Start);
        return placement ? m_pointers[placement->m_index]->m_node : "";
    }

private:
    std::deque<Target> m_targets;
    std::vector<const Target *> m_pointers;
    std::mt19937_64 m_random{1};
};

/** Simulates backend servers and many nodes that balance load by stale reports. */
class SharedServers
{
public:
    static constexpr int Nodes = 70;
    static constexpr int Servers = 22;
    static constexpr int Domains = 4;
    static constexpr int Slots = 35;
    static constexpr double HoldSeconds = 0.055;
    static constexpr int ReportMilliseconds = 200;
    static constexpr int LongestWaitMilliseconds = 150;

    SharedServers()
    {
        for (int number = 0; number < Nodes; ++number) {
            Node &node = m_nodes[static_cast<std::size_t>(number)];
            for (int server = 0; server < Servers; ++server) {
                Target target;
                target.m_node = std::to_string(server);
                target.m_place = placeOf(number % Domains, server % Domains);
                target.m_load = {Slots, 0, 0, HoldSeconds / speedOf(server)};
                node.m_targets.push_back(target);
            }
            for (const Target &target : node.m_targets)
                node.m_pointers.push_back(&target);
        }
    }

    /** Simulates calls at a fraction of the slots' capacity. */
    void play(double load, int milliseconds)
    {
        double speeds = 0;
        for (int server = 0; server < Servers; ++server)
            speeds += speedOf(server);
        std::poisson_distribution<int> arrivals(load * speeds * Slots / HoldSeconds / 1000.0);
        for (int time = 0; time < milliseconds; ++time) {
            report(time);
            for (int count = arrivals(m_random); count > 0; --count)
                run(place(time), time);
        }
    }

    /** @returns the fraction of calls that were refused after the maximum wait. */
    double refusedShare() const { return static_cast<double>(m_refused) / m_calls; }
    /** @returns the average latency in milliseconds. */
    double averageResponse() const { return m_responses / (m_calls - m_refused); }

private:
    struct Node
    {
        std::vector<Target> m_targets;
        std::vector<const Target *> m_pointers;
    };

    static double speedOf(int server)
    {
        constexpr std::array<double, 3> Speeds{0.6, 1.0, 1.4};
        return Speeds.at(static_cast<std::size_t>(server) % Speeds.size());
    }

    static routing::Place placeOf(int own, int other)
    {
        if (own == other)
            return routing::Place::SameFailureDomain;
        return own / 2 == other / 2 ? routing::Place::SameRegion : routing::Place::OtherRegion;
    }

    /** Runs of one backend server, as the times at which their slots become free. */
    struct Server
    {
        std::vector<double> m_free = std::vector<double>(Slots, 0.0);
        std::vector<double> m_starts;
    };

    void run(std::size_t number, int time)
    {
        Server &server = m_servers[number];
        const auto slot = std::min_element(server.m_free.begin(), server.m_free.end());
        const double start = std::max<double>(time, *slot);
        ++m_calls;
        if (start - time > LongestWaitMilliseconds) {
            ++m_refused;
            return;
        }
        std::exponential_distribution<double> hold(1.0 / (HoldSeconds * 1000.0));
        *slot = start + hold(m_random) / speedOf(static_cast<int>(number));
        server.m_starts.push_back(start);
        m_responses += *slot - time;
    }

    /** Each node receives the reports of all backend servers at its own times. */
    void report(int time)
    {
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if ((time + static_cast<int>(node) * 3) % ReportMilliseconds != 0)
                continue;
            for (std::size_t number = 0; number < m_servers.size(); ++number) {
                Server &server = m_servers[number];
                std::erase_if(server.m_starts, [time](double start) { return start <= time; });
                Target &target = m_nodes[node].m_targets[number];
                target.m_load.m_waiting = static_cast<int>(server.m_starts.size());
                target.m_load.m_running =
                        static_cast<int>(std::count_if(server.m_free.begin(), server.m_free.end(),
                                                       [time](double end) { return end > time; }));
                target.m_sentSinceReport = 0;
            }
        }
    }

    std::size_t place(int time)
    {
        Node &node = m_nodes[m_random() % Nodes];
        const std::optional<Placement> placement =
                choosePlacement(node.m_pointers, {}, PlacementSettings{}, m_random,
                                Start + std::chrono::milliseconds(time));
        ++node.m_targets[placement->m_index].m_sentSinceReport;
        return placement->m_index;
    }

    std::vector<Node> m_nodes{Nodes};
    std::vector<Server> m_servers{Servers};
    int m_calls = 0;
    int m_refused = 0;
    double m_responses = 0.0;
    std::mt19937_64 m_random{3};
};

} // namespace

// Guards against needless traffic between failure domains and regions.
TEST_CASE("Equal targets are taken from the own failure domain, then the own region")
{
    Targets targets;
    targets.add("far", routing::Place::OtherRegion, 5, 0.05);
    targets.add("near", routing::Place::SameRegion, 5, 0.05);
    targets.add("here", routing::Place::SameFailureDomain, 5, 0.05);
    CHECK(targets.choose() == "here");
    CHECK(targets.choose({"here"}) == "near");
    CHECK(targets.choose({"here", "near"}) == "far");
    CHECK(targets.choose({"here", "near", "far"}).empty());
}

// Guards against queueing at one backend server while another one has free slots.
TEST_CASE("A full target is left for one with room, also in another region")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 60, 0.1);
    targets.add("far", routing::Place::OtherRegion, 2, 0.1);
    CHECK(targets.choose() == "far");
}

// Guards against sending a slow backend server as many calls as a fast one.
TEST_CASE("A slow backend server is left before it is full")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 12, 0.6);
    targets.add("near", routing::Place::SameRegion, 12, 0.06);
    CHECK(targets.choose() == "near");
}

// Guards against sending all calls to one target until its next report.
TEST_CASE("Calls sent since the last report count as load")
{
    Targets targets;
    Target &here = targets.add("here", routing::Place::SameFailureDomain, 10, 0.1);
    targets.add("near", routing::Place::SameRegion, 10, 0.1);
    CHECK(targets.choose() == "here");
    here.m_sentSinceReport = 40;
    CHECK(targets.choose() == "near");
}

// Guards against a new backend server that gets no requests until the others are full.
TEST_CASE("A backend server that has not answered yet is tried at once")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 8, 0.05);
    targets.add("new", routing::Place::SameFailureDomain, 0, 0.0);
    targets.add("near", routing::Place::SameRegion, 0, 0.0);
    CHECK(targets.choose({"near"}) == "here");
    targets.add("full", routing::Place::SameFailureDomain, 19, 0.05);
    CHECK(targets.choose({"here", "near"}) == "new");
}

// Guards against time-outs of top-priority calls at a slow backend server although they would go to
// the front of the queue of a fast one.
TEST_CASE("A call that goes first in the queue takes the fast backend server although it is busy")
{
    Targets targets;
    targets.add("fast", routing::Place::SameFailureDomain, 40, 0.02);
    targets.add("slow", routing::Place::SameFailureDomain, 10, 0.035);
    CHECK(targets.choose() == "slow");
    CHECK(targets.choose({}, true) == "fast");
}

// Guards against a needless hop over another node.
TEST_CASE("Equal targets are taken on the own machine")
{
    Targets targets;
    targets.add("other", routing::Place::SameFailureDomain, 5, 0.05);
    targets.add("", routing::Place::SameFailureDomain, 5, 0.05);
    CHECK(targets.choose().empty());
}

// Guards against a backend server that fails fast and therefore attracts all calls.
TEST_CASE("A silent target is used only if there is no other")
{
    Targets targets;
    targets.add("silent", routing::Place::SameFailureDomain, 0, 0.1).m_isSilent = true;
    targets.add("far", routing::Place::OtherRegion, 5, 0.1);
    CHECK(targets.choose() == "far");
    CHECK(targets.choose({"far"}) == "silent");
}

TEST_CASE("An ejected target is used only if there is no other")
{
    Targets targets;
    Target &here = targets.add("here", routing::Place::SameFailureDomain, 0, 0.01);
    targets.add("near", routing::Place::SameRegion, 15, 0.1);
    here.m_outlier.m_ejectedUntil = Start + 1s;
    CHECK(targets.choose() == "near");
    CHECK(targets.choose({"near"}) == "here");
}

// Guards against a herd effect: all nodes send their calls to the backend server with the lowest
// reported load, which refuses them while others have free slots.
TEST_CASE("Many nodes with reports of some age do not fill single backend servers")
{
    SharedServers servers;
    servers.play(0.8, 5000);
    INFO("refused " << servers.refusedShare() << ", response " << servers.averageResponse());
    CHECK(servers.refusedShare() <= 0.01);
}

// Guards against rating a backend server as slow because its runs belong to a slower route.
TEST_CASE("The mix of routes does not decide which backend server is fast")
{
    RelativeHold shortRuns;
    RelativeHold longRuns;
    for (int run = 1; run <= 50; ++run) {
        recordHold(shortRuns, 15ms, 15ms, Start + run * 20ms);
        recordHold(longRuns, 300ms, 300ms, Start + run * 20ms);
    }
    CHECK(shortRuns.m_value == Approx(1.0));
    CHECK(longRuns.m_value == Approx(1.0));
    PlacementSettings settings;
    settings.m_explorationShare = 0.0;
    std::mt19937_64 random{1};
    Target here;
    here.m_node = "here";
    here.m_load = {20, 5, 0, 0.3, longRuns.m_value};
    Target far;
    far.m_node = "far";
    far.m_place = routing::Place::OtherRegion;
    far.m_load = {20, 5, 0, 0.015, shortRuns.m_value};
    const std::vector<const Target *> targets{&far, &here};
    const std::optional<Placement> placement =
            choosePlacement(targets, {{}, false, 0.3}, settings, random, Start);
    REQUIRE(placement);
    CHECK(targets[placement->m_index]->m_node == "here");
}

// Guards against a backend server that was slow once, gets no calls and therefore stays rated slow.
TEST_CASE("A backend server that was slow at its start gets its share again within seconds")
{
    PlacementSettings settings;
    std::mt19937_64 random{1};
    std::array<RelativeHold, 2> holds;
    std::array<Target, 2> targets;
    targets[0].m_node = "first";
    targets[1].m_node = "second";
    const std::vector<const Target *> pointers{&targets[0], &targets[1]};
    recordHold(holds[0], 100ms, 100ms, Start);
    recordHold(holds[1], 400ms, 100ms, Start);
    int second = 0;
    for (int call = 0; call < 1000; ++call) {
        // A hundred calls a second; both are equally fast by now, and the first is nearly full.
        const auto now = Start + call * 10ms;
        targets[0].m_load = {20, 17, 0, 0.1, holds[0].m_value};
        targets[1].m_load = {20, 2, 0, 0.1, holds[1].m_value};
        const std::optional<Placement> placement =
                choosePlacement(pointers, {{}, false, 0.1}, settings, random, now);
        const double noise = std::uniform_real_distribution<double>(0.8, 1.2)(random);
        recordHold(holds.at(placement->m_index), 100ms * noise, 100ms, now);
        if (call >= 500)
            second += placement->m_index == 1 ? 1 : 0;
    }
    CHECK(second >= 100);
}
