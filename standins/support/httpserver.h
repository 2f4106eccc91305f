#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>

namespace chervilmount::standins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Maximum body size that the stand-ins read, in bytes. */
constexpr std::uint64_t MaximumBodyBytes = std::uint64_t{64} * 1024 * 1024;

/**
 * Handles one request. Throwing closes the connection without a response, which simulates a
 * response that is lost after the request took effect.
 */
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/** Accepts connections until the context stops; serves each with keep-alive. */
boost::asio::awaitable<void> serveHttp(boost::asio::ip::tcp::endpoint endpoint,
                                       HttpHandler handler);

/** Builds a response with a JSON body. */
HttpResponse jsonResponse(boost::beast::http::status status, const std::string &body);

} // namespace chervilmount::standins
