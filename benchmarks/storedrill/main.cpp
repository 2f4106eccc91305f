/**
 * Measures how soon a fleet is up to date after a drill of the store, and how many calls that
 * takes. All rows of nodes are lost in each drill, and the operators publish a version right after
 * it.
 */
#include "platform/standin/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr int Drills = 20;

/** What one drill took. */
struct DrillResult
{
    Milliseconds m_policy{0};
    Milliseconds m_rows{0};
    int m_writes = 0;
    int m_reads = 0;
};

void require(bool holds, const std::string &what)
{
    if (holds)
        return;
    std::cerr << "storedrill: " << what << '\n';
    std::exit(1);
}

DrillResult playDrill(Fleet &fleet, int version, std::mt19937 &random)
{
    fleet.runFor(Milliseconds(std::uniform_int_distribution<int>(3000, 4500)(random)));
    const int writes = fleet.m_store.writeCalls();
    const int reads = fleet.m_store.readCalls();
    // Away for a moment: connections stay open and give no answer.
    fleet.m_store.m_faults.m_silent = true;
    fleet.m_store.dropPendingCalls();
    fleet.runFor(300ms);
    fleet.m_store.m_faults.m_silent = false;
    fleet.m_store.restoreCopy(1h);
    fleet.configure(version);
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [start] {
        return std::chrono::floor<Milliseconds>(std::chrono::steady_clock::now() - start);
    };
    DrillResult result;
    bool hasPolicy = false;
    bool hasRows = false;
    require(fleet.runUntil(
                    [&] {
                        if (!hasPolicy && fleet.haveVersion(static_cast<std::uint64_t>(version))) {
                            hasPolicy = true;
                            result.m_policy = elapsed();
                        }
                        if (!hasRows && fleet.areRowsStored()) {
                            hasRows = true;
                            result.m_rows = elapsed();
                        }
                        return hasPolicy && hasRows;
                    },
                    20s),
            "not up to date after 20 s");
    fleet.runFor(1s);
    result.m_writes = fleet.m_store.writeCalls() - writes;
    result.m_reads = fleet.m_store.readCalls() - reads;
    return result;
}

template<typename Value>
void print(const std::string &name, const std::vector<DrillResult> &results,
           const std::function<Value(const DrillResult &)> &value)
{
    std::vector<Value> values;
    for (const DrillResult &result : results)
        values.push_back(value(result));
    std::sort(values.begin(), values.end());
    std::cout << name << ": minimum " << values.front() << ", median " << values[values.size() / 2]
              << ", maximum " << values.back() << '\n';
}

void measure(int nodes)
{
    Fleet fleet;
    for (int node = 0; node < nodes; ++node)
        fleet.addNode("n" + std::to_string(node), "slipdesk", "zone-a",
                      node % 2 == 0 ? "region-a" : "region-b");
    fleet.configure(1);
    require(fleet.settle(60s), "the fleet does not become ready");
    std::mt19937 random(1);
    std::vector<DrillResult> results;
    for (int drill = 0; drill < Drills; ++drill)
        results.push_back(playDrill(fleet, drill + 2, random));
    std::cout << nodes << " nodes, " << Drills << " drills\n";
    print<Milliseconds::rep>("  ms until all nodes have the version", results,
                             [](const DrillResult &result) { return result.m_policy.count(); });
    print<Milliseconds::rep>("  ms until all rows are stored", results,
                             [](const DrillResult &result) { return result.m_rows.count(); });
    print<int>("  writes until a second later", results,
               [](const DrillResult &result) { return result.m_writes; });
    print<int>("  reads until a second later", results,
               [](const DrillResult &result) { return result.m_reads; });
}

} // namespace

int main()
{
    for (const int nodes : {4, 16, 32})
        measure(nodes);
    return 0;
}
