#include "command/http/httpclient.h"

#include "command/arguments/exitcode.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace chervilmount::command {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/** Largest accepted response: the member table of 33,000 nodes is about 10 MB as JSON. */
constexpr std::uint64_t MaximumResponseBytes = std::uint64_t{128} * 1024 * 1024;

[[noreturn]] void throwAddressError(const std::string &address)
{
    throw CommandError(ExitCode::Usage,
                       "\"" + address + "\" is not an address; use an IP number and a port, e.g. "
                               + "127.0.0.1:7403");
}

/** Starts an asynchronous operation and waits for its completion.
 * @throws boost::system::system_error */
template<typename Start>
void await(asio::io_context &context, Start start)
{
    boost::system::error_code result;
    start([&result](const boost::system::error_code &error, auto...) { result = error; });
    context.restart();
    context.run();
    if (result)
        throw boost::system::system_error(result);
}

} // namespace

HttpClient::HttpClient(const std::string &address, std::chrono::milliseconds timeout)
    : m_address(address)
    , m_timeout(timeout)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throwAddressError(address);
    m_host = address.substr(0, colon);
    if (m_host.size() > 2 && m_host.front() == '[' && m_host.back() == ']')
        m_host = m_host.substr(1, m_host.size() - 2);
    boost::system::error_code error;
    asio::ip::make_address(m_host, error);
    const char *end = address.data() + address.size();
    const std::from_chars_result port = std::from_chars(address.data() + colon + 1, end, m_port);
    if (error || port.ec != std::errc() || port.ptr != end || m_port == 0)
        throwAddressError(address);
}

HttpResponse HttpClient::send(const HttpRequest &request) const
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(m_timeout);
    bool wasSent = false;
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_host), m_port);
        await(context, [&](auto handler) { stream.async_connect(endpoint, handler); });

        http::request<http::string_body> message(http::string_to_verb(request.m_method),
                                                 request.m_target, 11);
        message.set(http::field::host, m_address);
        message.set(http::field::user_agent, "chervilmount-ctl");
        message.set(http::field::connection, "close");
        if (!request.m_body.empty())
            message.set(http::field::content_type, "application/json");
        message.body() = request.m_body;
        message.prepare_payload();
        wasSent = true;
        await(context, [&](auto handler) { http::async_write(stream, message, handler); });

        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaximumResponseBytes);
        await(context, [&](auto handler) { http::async_read(stream, buffer, parser, handler); });
        return {parser.get().result_int(), std::move(parser.get().body())};
    } catch (const boost::system::system_error &error) {
        throw ConnectionError("no response from node " + m_address + ": " + error.code().message(),
                              wasSent);
    }
}

} // namespace chervilmount::command
