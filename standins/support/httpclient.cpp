#include "standins/support/httpclient.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <stdexcept>

namespace chervilmount::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

std::unique_ptr<beast::tcp_stream> takeIdle(ConnectionPool &pool,
                                            const asio::ip::tcp::endpoint &endpoint)
{
    std::vector<std::unique_ptr<beast::tcp_stream>> &idle = pool.m_idle[endpoint];
    while (!idle.empty()) {
        std::unique_ptr<beast::tcp_stream> stream = std::move(idle.back());
        idle.pop_back();
        // An idle connection that is readable was closed by the peer or has unexpected data.
        boost::system::error_code error;
        char byte = 0;
        stream->socket().non_blocking(true);
        stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block)
            return stream;
    }
    return nullptr;
}

} // namespace

asio::awaitable<HttpResponse> sendHttp(ConnectionPool &pool, asio::ip::tcp::endpoint endpoint,
                                       HttpRequest request, std::chrono::milliseconds timeout)
{
    std::unique_ptr<beast::tcp_stream> stream = takeIdle(pool, endpoint);
    if (stream) {
        stream->expires_after(timeout);
    } else {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        stream = std::make_unique<beast::tcp_stream>(executor);
        stream->expires_after(timeout);
        co_await stream->async_connect(endpoint, asio::use_awaitable);
        stream->socket().set_option(asio::ip::tcp::no_delay(true));
    }
    request.prepare_payload();
    co_await http::async_write(*stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaximumBodyBytes);
    co_await http::async_read(*stream, buffer, parser, asio::use_awaitable);
    HttpResponse response = parser.release();
    if (response.keep_alive() && buffer.size() == 0) {
        stream->expires_never();
        pool.m_idle[endpoint].push_back(std::move(stream));
    }
    co_return response;
}

asio::ip::tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected address:port, found " + text);
    const int port = std::stoi(text.substr(colon + 1));
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

} // namespace chervilmount::standins
