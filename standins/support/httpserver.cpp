#include "standins/support/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <memory>

namespace chervilmount::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket,
                                      std::shared_ptr<HttpHandler> handler)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    try {
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaximumBodyBytes);
            co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
            HttpRequest request = parser.release();
            const bool keepAlive = request.keep_alive();
            HttpResponse response = co_await (*handler)(std::move(request));
            response.keep_alive(keepAlive);
            response.prepare_payload();
            co_await http::async_write(stream, response, asio::use_awaitable);
            if (!keepAlive)
                break;
        }
    } catch (const std::exception &) {
        // The peer closed the connection, or the handler asked to drop it.
        stream.close();
    }
}

} // namespace

asio::awaitable<void> serveHttp(asio::ip::tcp::endpoint endpoint, HttpHandler handler)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::ip::tcp::acceptor acceptor(executor, endpoint);
    const std::shared_ptr<HttpHandler> shared = std::make_shared<HttpHandler>(std::move(handler));
    for (;;) {
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::co_spawn(executor, serveConnection(std::move(socket), shared), asio::detached);
    }
}

HttpResponse jsonResponse(http::status status, const std::string &body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

} // namespace chervilmount::standins
