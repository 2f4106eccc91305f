#include "standins/relay/relay.h"
#include "standins/support/httpclient.h"
#include "standins/support/programoptions.h"
#include "standins/support/runprogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace chervilmount::standins;

int main(int argc, const char **argv)
{
    const std::map<std::string, std::string> options = readProgramOptions(
            argc, argv,
            {{"links", "listen-address:port=target-address:port, separated by commas", ""},
             {"control", "address:port for POST /standin/faults", "127.0.0.1:7300"}});
    boost::asio::io_context context(1);
    RelayFaults faults;
    for (const std::string &link : splitAtCommas(options.at("links"))) {
        const std::size_t equals = link.find('=');
        boost::asio::co_spawn(context,
                              relayConnections(parseEndpoint(link.substr(0, equals)),
                                               parseEndpoint(link.substr(equals + 1)), faults),
                              boost::asio::detached);
    }
    const HttpHandler handler = [&faults](HttpRequest request) {
        return handleRelayControl(faults, std::move(request));
    };
    return runProgram(context, serveHttp(parseEndpoint(options.at("control")), handler));
}
