#pragma once

#include "adapters/http/httpmessage.h"
#include "adapters/tasks/task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::adapters {

/** An HTTP/1.1 client connection that carries one request at a time. */
class HttpConnection
{
public:
    /** Result of reading a part of a response body. */
    enum class BodyRead { Data, End, Failed };

    /** @param headBytes largest accepted response head. */
    HttpConnection(const boost::asio::any_io_executor &executor, std::size_t headBytes);

    /** Connects. @returns the error, if any. */
    Task<boost::system::error_code> connect(boost::asio::ip::tcp::endpoint endpoint,
                                            std::chrono::steady_clock::time_point until);

    /** Sets the time at which reads and writes fail. */
    void setDeadline(std::chrono::steady_clock::time_point until);

    /**
     * Sends the head of a request.
     * @returns false if the connection failed.
     */
    Task<bool> writeHead(const HttpRequestHead &head);

    /** Sends a part of the request body. @returns false if the connection failed. */
    Task<bool> writeBody(std::string_view data);

    /** Ends the request body. @returns false if the connection failed. */
    Task<bool> finishBody();

    /**
     * Reads the head of the response; interim (1xx) responses are skipped.
     * @returns nothing if the connection failed or the head was malformed or too large.
     */
    Task<std::optional<HttpResponseHead>> readHead();

    /** Reads the next part of the response body into data (at most maximumBytes). */
    Task<BodyRead> readBody(std::string &data, std::size_t maximumBytes);

    /** @returns true if the complete response was read and the server keeps the connection open. */
    bool reusable() const { return m_reusable; }

    /** @returns true if an idle connection has neither been closed nor received unsolicited bytes.
     */
    bool isStillIdle();

    /** @returns true once bytes of the current request may have reached the server. */
    bool requestSent() const { return m_requestSent; }

    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }

    /** Closes the connection; operations in progress fail. */
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    using Request = boost::beast::http::request<boost::beast::http::buffer_body>;
    using Serializer = boost::beast::http::request_serializer<boost::beast::http::buffer_body>;

    /** Reads until the parser has the whole head. @returns false if it failed. */
    Task<bool> parseHead();
    void recordWrite(boost::system::error_code error);
    BodyRead endOfBody() const;

    boost::beast::tcp_stream m_stream;
    std::size_t m_headBytes;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::string m_host;
    boost::beast::flat_buffer m_buffer;
    Request m_request;
    std::optional<Serializer> m_serializer;
    std::optional<Parser> m_parser;
    bool m_headRequest = false;
    bool m_requestSent = false;
    bool m_bodyFinished = false;
    /** A write has found the connection failed before the end of the server's bytes. */
    bool m_wasReset = false;
    bool m_reusable = false;
};

} // namespace chervilmount::adapters
