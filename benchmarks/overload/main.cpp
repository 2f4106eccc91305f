// Prints the table of scenarios and variants.
// Usage: overload_scenarios_table [--deployment NAME] [--scenario NAME] [--variant NAME]
//                                 [--seed N] [--jobs N]
#include "benchmarks/overload/simulation.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace chervilmount::scenarios;

struct Run
{
    Deployment m_deployment;
    Scenario m_scenario;
    Variant m_variant;
    Measures m_measures;
};

struct Options
{
    std::string m_deployment;
    std::string m_scenario;
    std::string m_variant;
    std::uint64_t m_seed = 1;
    int m_jobs = 3;
};

Options parseOptions(int count, char **values)
{
    Options options;
    for (int index = 1; index + 1 < count; index += 2) {
        const std::string name = values[index];
        const std::string value = values[index + 1];
        if (name == "--deployment")
            options.m_deployment = value;
        else if (name == "--scenario")
            options.m_scenario = value;
        else if (name == "--variant")
            options.m_variant = value;
        else if (name == "--seed")
            options.m_seed = std::stoull(value);
        else if (name == "--jobs")
            options.m_jobs = std::stoi(value);
    }
    return options;
}

std::vector<Run> selectRuns(const Options &options)
{
    std::vector<Run> runs;
    for (const Deployment &deployment : {addis(), halvern(), wide()}) {
        if (!options.m_deployment.empty() && deployment.m_name != options.m_deployment)
            continue;
        for (const Scenario &scenario : allScenarios(deployment)) {
            if (!options.m_scenario.empty() && scenario.m_name != options.m_scenario)
                continue;
            for (const Variant &variant : allVariants()) {
                if (options.m_variant.empty() || variant.m_name == options.m_variant)
                    runs.push_back({deployment, scenario, variant, {}});
            }
        }
    }
    return runs;
}

void execute(std::vector<Run> &runs, const Options &options)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (int worker = 0; worker < options.m_jobs; ++worker) {
        workers.emplace_back([&runs, &next, &options] {
            for (std::size_t index = next++; index < runs.size(); index = next++) {
                Run &run = runs[index];
                run.m_measures = runScenario(run.m_deployment, run.m_scenario, run.m_variant,
                                             options.m_seed);
            }
        });
    }
    for (std::thread &worker : workers)
        worker.join();
}

void print(const std::vector<Run> &runs)
{
    std::printf("| deployment | scenario | variant | goodput %% of possible | recovery s | "
                "worst/best organisation %% | wasted %% | important %% | attempts/request | "
                "beyond bound |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Run &run : runs) {
        const Measures &measures = run.m_measures;
        std::printf("| %s | %s | %s | %.1f | %.2f | %.1f | %.1f | %.2f | %.2f | %llu |\n",
                    run.m_deployment.m_name.c_str(), run.m_scenario.m_name.c_str(),
                    run.m_variant.m_name.c_str(), 100.0 * measures.m_goodputShare,
                    std::chrono::duration<double>(measures.m_recovery).count(),
                    100.0 * measures.m_worstOverBest, 100.0 * measures.m_wastedShare,
                    100.0 * measures.m_importantShare, measures.m_attemptsPerRequest,
                    static_cast<unsigned long long>(measures.m_boundViolations));
    }
}

} // namespace

int main(int count, char **values)
{
    try {
        const Options options = parseOptions(count, values);
        std::vector<Run> runs = selectRuns(options);
        execute(runs, options);
        print(runs);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "overload_scenarios_table: %s\n", error.what());
        return 1;
    }
    return 0;
}
