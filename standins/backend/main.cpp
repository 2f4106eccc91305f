#include "standins/backend/backendserver.h"
#include "standins/support/programoptions.h"
#include "standins/support/runprogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace chervilmount::standins;

int main(int argc, const char **argv)
{
    const std::map<std::string, std::string> options = readProgramOptions(
            argc, argv,
            {{"listen", "address:port to listen on", "127.0.0.1:7100"},
             {"node", "address:port of the node's local listener", "127.0.0.1:8100"},
             {"service", "name of the service", "slipdesk"},
             {"slots", "requests that run at the same time", "50"},
             {"connections", "connections that are accepted", "400"},
             {"service-time", "mean service time in milliseconds", "20"},
             {"calls", "services called for each request, separated by commas", ""}});
    BackendServer server;
    server.m_behaviour.m_service = options.at("service");
    server.m_behaviour.m_address = options.at("listen");
    server.m_behaviour.m_slots = std::stoi(options.at("slots"));
    server.m_behaviour.m_connections = std::stoi(options.at("connections"));
    server.m_behaviour.m_serviceTime =
            std::chrono::milliseconds(std::stoi(options.at("service-time")));
    server.m_behaviour.m_calls = splitAtCommas(options.at("calls"));
    server.m_node = parseEndpoint(options.at("node"));

    boost::asio::io_context context(1);
    boost::asio::co_spawn(context, announceToNode(server), boost::asio::detached);
    const HttpHandler handler = [&server](HttpRequest request) {
        return handleBackendRequest(server, std::move(request));
    };
    const int status = runProgram(context, serveHttp(parseEndpoint(options.at("listen")), handler));
    // Sockets and timers of the server refer to the context, which is destroyed first.
    server.m_pool.m_idle.clear();
    server.m_waiting.clear();
    return status;
}
