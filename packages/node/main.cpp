#include "adapters/logging/decisionlog.h"
#include "node/node.h"
#include "platform/run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <popt.h>
#include <random>
#include <stdexcept>
#include <string>

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read the settings file '" + path + "'");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void run(const std::string &settingsPath)
{
    using namespace std::chrono;
    const chervilmount::node::NodeSettings settings =
            chervilmount::node::parseNodeSettings(readFile(settingsPath), settingsPath);
    chervilmount::adapters::configureLog(settings.m_logLevel, settings.m_logFile);
    boost::asio::io_context context(1);
    const auto incarnation =
            duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    chervilmount::node::Node node(context, settings, static_cast<std::uint64_t>(incarnation), seed);
    node.m_onStopped = [&context] { context.stop(); };
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&node](boost::system::error_code error, int) {
        if (!error)
            node.stop();
    });
    context.run();
    chervilmount::adapters::shutDownLog();
}

} // namespace

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

struct Arguments
{
    int m_platform = 0;
    int m_check = 0;
    int m_version = 0;
    std::string m_settingsPath;
    std::string m_decisionsPath;
};

/** @returns whether the arguments are valid; otherwise the reason has been printed. */
bool parseArguments(int count, char **values, Arguments &arguments)
{
    char *decisionsPath = nullptr;
    const poptOption options[] = {{"platform", '\0', POPT_ARG_NONE, &arguments.m_platform, 0,
                                   "serve on the platform, with the settings that it has placed",
                                   nullptr},
                                  {"decisions", '\0', POPT_ARG_STRING, &decisionsPath, 0,
                                   "settings of the decisions on the platform", "FILE"},
                                  {"check", '\0', POPT_ARG_NONE, &arguments.m_check, 0,
                                   "check the settings, print all findings and exit", nullptr},
                                  {"version", '\0', POPT_ARG_NONE, &arguments.m_version, 0,
                                   "print the version and exit", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("chervilmount-node", count, const_cast<const char **>(values), options,
                           0),
            poptFreeContext);
    poptSetOtherOptionHelp(context.get(),
                           "[--check] SETTINGS.json | [--check] --platform [--decisions FILE]");
    const int result = poptGetNextOpt(context.get());
    if (decisionsPath != nullptr)
        arguments.m_decisionsPath = decisionsPath;
    std::free(decisionsPath);
    if (result < -1) {
        std::cerr << "chervilmount-node: " << poptBadOption(context.get(), 0) << ": "
                  << poptStrerror(result) << '\n';
        return false;
    }
    const char *path = poptGetArg(context.get());
    if (path != nullptr)
        arguments.m_settingsPath = path;
    const bool hasPath = path != nullptr;
    const bool isComplete = arguments.m_version != 0
            || (hasPath != (arguments.m_platform != 0)
                && (arguments.m_decisionsPath.empty() || arguments.m_platform != 0));
    if (isComplete && poptPeekArg(context.get()) == nullptr)
        return true;
    poptPrintUsage(context.get(), stderr, 0);
    return false;
}

void runWith(const Arguments &arguments)
{
    if (arguments.m_version != 0)
        std::cout << "chervilmount-node " << CHERVILMOUNT_VERSION << '\n';
    else if (arguments.m_platform != 0)
        chervilmount::platform::run(arguments.m_decisionsPath, arguments.m_check != 0);
    else if (arguments.m_check != 0)
        chervilmount::node::parseNodeSettings(readFile(arguments.m_settingsPath),
                                              arguments.m_settingsPath);
    else
        run(arguments.m_settingsPath);
}

} // namespace

int main(int count, char **values)
{
    Arguments arguments;
    if (!parseArguments(count, values, arguments))
        return ExitUsage;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        runWith(arguments);
    } catch (const std::exception &error) {
        std::cerr << "chervilmount-node: " << error.what() << '\n';
        return ExitFailure;
    }
    return 0;
}
