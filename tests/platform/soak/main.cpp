#include "adapters/logging/decisionlog.h"
#include "platform/soak/policysoak.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <popt.h>
#include <string>

namespace {

constexpr int ExitFindings = 1;
constexpr int ExitUsage = 2;

void print(const SoakReport &report, std::uint64_t seed)
{
    for (const std::string &fault : report.m_faults)
        std::cout << "fault: " << fault << '\n';
    for (const std::string &finding : report.m_findings)
        std::cout << "finding: " << finding << '\n';
    std::cout << "soak: seed=" << seed << " versions=" << report.m_versions
              << " judged=" << report.m_judged << " excused=" << report.m_excused
              << " unanswered=" << report.m_unanswered << " findings=" << report.m_findings.size()
              << '\n';
}

} // namespace

int main(int count, char **values)
{
    char *program = nullptr;
    char *folder = nullptr;
    long seed = 1;
    int seconds = 30;
    int nodes = 8;
    int direct = 0;
    int delay = 0;
    int drills = 0;
    const poptOption options[] = {
            {"node", '\0', POPT_ARG_STRING, &program, 0, "program of the node", "FILE"},
            {"folder", '\0', POPT_ARG_STRING, &folder, 0, "folder for settings and logs", "DIR"},
            {"seed", '\0', POPT_ARG_LONG, &seed, 0, "seed of faults and versions", "N"},
            {"seconds", '\0', POPT_ARG_INT, &seconds, 0, "time with faults", "N"},
            {"nodes", '\0', POPT_ARG_INT, &nodes, 0, "number of nodes, 8 to 16", "N"},
            {"direct", '\0', POPT_ARG_NONE, &direct, 0, "no proxies between the nodes", nullptr},
            {"delay", '\0', POPT_ARG_INT, &delay, 0,
             "delays the links to the store without excuse; the soak has to find that", "MS"},
            {"drills", '\0', POPT_ARG_NONE, &drills, 0,
             "no faults but drills of the store, which restarts and cuts would hide", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("chervilmount-soak", count, const_cast<const char **>(values), options,
                           0),
            poptFreeContext);
    const int result = poptGetNextOpt(context.get());
    constexpr int LeastNodes = 8;
    constexpr int MostNodes = 16;
    if (result < -1 || program == nullptr || folder == nullptr || nodes < LeastNodes
        || nodes > MostNodes) {
        poptPrintUsage(context.get(), stderr, 0);
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    SoakSettings settings;
    settings.m_program = program;
    settings.m_folder = folder;
    settings.m_seed = static_cast<std::uint64_t>(seed);
    settings.m_duration = std::chrono::seconds(seconds);
    settings.m_nodes = nodes;
    settings.m_usesPeerProxies = direct == 0;
    settings.m_unexcusedDelay = std::chrono::milliseconds(delay);
    settings.m_playsDrillsOnly = drills != 0;
    std::free(program);
    std::free(folder);
    try {
        const SoakReport report = PolicySoak(settings).run();
        print(report, settings.m_seed);
        return report.m_findings.empty() ? 0 : ExitFindings;
    } catch (const std::exception &error) {
        std::cerr << "chervilmount-soak: " << error.what() << '\n';
        return ExitUsage;
    }
}
