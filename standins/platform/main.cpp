#include "standins/platform/platform.h"
#include "standins/support/httpclient.h"
#include "standins/support/programoptions.h"
#include "standins/support/runprogram.h"

using namespace chervilmount::standins;

int main(int argc, const char **argv)
{
    const std::map<std::string, std::string> options = readProgramOptions(
            argc, argv, {{"listen", "address:port to listen on", "127.0.0.1:7000"}});
    boost::asio::io_context context(1);
    Platform platform;
    const HttpHandler handler = [&platform](HttpRequest request) {
        return handlePlatformRequest(platform, std::move(request));
    };
    return runProgram(context, serveHttp(parseEndpoint(options.at("listen")), handler));
}
