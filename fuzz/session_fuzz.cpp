#include "fuzz/require.h"
#include "relay/http/httpserver.h"
#include "relay/http/socketoptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace chervilmount::relay;
using chervilmount::fuzz::require;

namespace {

/** Serves one connection at a time on a loopback address and keeps what was begun. */
class Server
{
public:
    Server()
        : m_server(m_context, freeAddress(), m_limits,
                   [this](const std::shared_ptr<ServerExchange> &exchange, HttpRequest request) {
                       m_begun.push_back(std::string(request.method_string()) + " "
                                         + std::string(request.target()) + " " + request.body());
                       exchange->respond(makeResponse(200, "answer"), false);
                   })
    {
        m_limits.m_headBytes = 4096;
        m_limits.m_bodyBytes = 4096;
    }

    /** Sends the bytes in pieces. @returns the requests that were begun. */
    std::vector<std::string> serve(const std::string &bytes, std::size_t piece)
    {
        m_begun.clear();
        boost::asio::ip::tcp::socket socket(m_context);
        socket.connect(parseEndpoint(m_address));
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        m_context.restart();
        m_context.poll();
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            boost::system::error_code ignored;
            boost::asio::write(
                    socket,
                    boost::asio::buffer(bytes.data() + at, std::min(piece, bytes.size() - at)),
                    ignored);
            m_context.restart();
            m_context.poll();
        }
        socket.close();
        for (int turn = 0; turn < 20 && m_server.sessions() > 0; ++turn) {
            m_context.restart();
            m_context.poll();
            m_server.checkTimeouts(std::chrono::steady_clock::now());
        }
        return m_begun;
    }

private:
    std::string freeAddress()
    {
        boost::asio::ip::tcp::acceptor probe(m_context,
                                             {boost::asio::ip::address_v4::loopback(), 0});
        m_address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        return m_address;
    }

    boost::asio::io_context m_context;
    chervilmount::traffic::CallerLimits m_limits;
    std::string m_address;
    std::vector<std::string> m_begun;
    HttpServer m_server;
};

} // namespace

/** A stream of requests means the same however it is cut into pieces. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static Server s_server;
    constexpr std::size_t LongestInput = 1024;
    if (size < 2 || size > LongestInput)
        return 0;
    const std::size_t piece = 1 + data[0] % 64;
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const std::vector<std::string> whole = s_server.serve(bytes, bytes.size());
    const std::vector<std::string> pieces = s_server.serve(bytes, piece);
    // The caller leaves at the end, so that the last requests may not have been begun.
    const std::size_t common = std::min(whole.size(), pieces.size());
    require(std::equal(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(common),
                       pieces.begin()));
    return 0;
}
