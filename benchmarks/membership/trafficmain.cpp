#include "benchmarks/membership/fit.h"
#include "benchmarks/membership/traffic.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace chervilmount::measurements;
using std::chrono::seconds;

namespace {

constexpr std::size_t Sizes[] = {100, 330, 1000, 3300};
constexpr std::size_t LargestMassStart = 1000;

std::size_t largestSize()
{
    const char *value = std::getenv("CHERVILMOUNT_LARGEST_DOMAIN");
    return value ? std::strtoul(value, nullptr, 10) : Sizes[3];
}

void printTraffic(const char *name, std::size_t nodes, const Traffic &traffic)
{
    std::printf("%-22s %6zu %8.0f %8.0f %8.0f %8.1f %8.1f %8.0f %9.0f\n", name, nodes,
                traffic.m_sentMean, traffic.m_sentBridge, traffic.m_receivedBridge,
                traffic.m_messagesMean, traffic.m_messagesBridge, traffic.m_peak,
                traffic.m_betweenDomains);
    std::fflush(stdout);
}

void printHeader(const char *title)
{
    std::printf("\n%s\n%-22s %6s %8s %8s %8s %8s %8s %8s %9s\n", title, "case", "nodes", "B/s mean",
                "B/s brdg", "B/s rcvd", "msg/s", "msg/s br", "B/s peak", "B/s domns");
}

void printCost(const char *name, std::size_t nodes, const EventCost &cost)
{
    printTraffic(name, nodes, cost.m_traffic);
    std::printf("%-22s agreement after %lld ms, extra bytes per node %.0f\n", "",
                static_cast<long long>(cost.m_agreement.count()), cost.m_extraBytes);
    std::fflush(stdout);
}

void printSteady()
{
    printHeader("Steady state, 10 failure domains; bytes with 62 bytes of overhead per message");
    std::vector<Point> quiet;
    std::vector<Point> changing;
    for (const std::size_t nodes : Sizes) {
        if (nodes > largestSize())
            continue;
        const Traffic still = measureTraffic({nodes}, 0, seconds(30));
        printTraffic("quiet", nodes, still);
        const Traffic busy = measureTraffic({nodes}, TargetChangesPerSecond, seconds(60));
        printTraffic("0.51 changes/s", nodes, busy);
        quiet.emplace_back(nodes, still.m_sentMean);
        changing.emplace_back(nodes, busy.m_sentMean);
    }
    std::printf("exponent of bytes per node over nodes: quiet %.3f, with changes %.3f\n",
                fitExponent(quiet), fitExponent(changing));

    printHeader("Links of a bridge to each other domain (330 nodes, 0.51 changes/s)");
    for (const std::size_t links : {1, 2, 3}) {
        printTraffic(("links " + std::to_string(links)).c_str(), 330,
                     measureTraffic({330, 10, links}, TargetChangesPerSecond, seconds(60)));
    }
    printHeader("Failure domains (330 nodes, 0.51 changes/s)");
    for (const std::size_t domains : {1, 4, 10, 20}) {
        printTraffic(("domains " + std::to_string(domains)).c_str(), 330,
                     measureTraffic({330, domains, 0}, TargetChangesPerSecond, seconds(60)));
    }
    printHeader("Rate of changes (330 nodes)");
    for (const double rate : {0.5, 2.0, 5.0, 20.0}) {
        printTraffic((std::to_string(rate).substr(0, 4) + " changes/s").c_str(), 330,
                     measureTraffic({330}, rate, seconds(60)));
    }
}

void printEvents()
{
    printHeader("Events");
    for (const std::size_t nodes : Sizes) {
        if (nodes > largestSize())
            continue;
        printCost("1 crash", nodes, measureCrash({nodes}, 1));
        printCost("40 crashes (a rack)", nodes, measureCrash({nodes}, 40));
        printCost("domain cut for 120 s", nodes, measureCut({nodes}, seconds(120)));
        printCost("1 restart", nodes, measureRestart({nodes}));
        if (nodes <= LargestMassStart)
            printCost("all start at once", nodes, measureMassStart(nodes, 1));
    }
}

} // namespace

/** Runs all measurements; the argument "steady" or "events" selects one part. */
int main(int argc, char **argv)
{
    const std::string part = argc > 1 ? argv[1] : "";
    if (part != "events")
        printSteady();
    if (part != "steady")
        printEvents();
    return EXIT_SUCCESS;
}
