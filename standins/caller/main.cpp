#include "standins/caller/report.h"
#include "standins/support/programoptions.h"
#include "standins/support/runprogram.h"

#include <boost/json/parse.hpp>

#include <cstdio>
#include <fstream>
#include <iterator>

using namespace chervilmount::standins;

namespace {

boost::asio::awaitable<void> runScenario(const Scenario &scenario, std::size_t &violationCount)
{
    ConnectionPool pool;
    Records records;
    ObservedExecutions executions;
    co_await sendLoad(scenario, pool, records);
    co_await readExecutions(scenario, pool, executions);
    const std::vector<std::string> violations = findViolations(scenario, records, executions);
    printReport(scenario, records, violations);
    violationCount = violations.size();
}

} // namespace

int main(int argc, const char **argv)
{
    const std::map<std::string, std::string> options =
            readProgramOptions(argc, argv, {{"scenario", "JSON file with the load", ""}});
    std::ifstream file(options.at("scenario"));
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    Scenario scenario;
    try {
        scenario = parseScenario(boost::json::parse(text));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", options.at("scenario").c_str(), error.what());
        return 2;
    }
    boost::asio::io_context context(1);
    std::size_t violationCount = 0;
    const int status = runProgram(context, runScenario(scenario, violationCount));
    return status != 0 || violationCount == 0 ? status : 1;
}
