#include "adapters/logging/decisionlog.h"
#include "node/node.h"

#include "model/findings/findingserror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
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

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 2) {
        std::cerr << "usage: chervilmount-node SETTINGS.json\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        run(arguments[1]);
    } catch (const std::exception &error) {
        std::cerr << "chervilmount-node: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
