#include "adapters/http/httpexchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace chervilmount::adapters {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadChunkBytes = 16UL * 1024;

HttpRequestHead toHead(const HttpExchange::Parser &parser)
{
    const auto &message = parser.get();
    HttpRequestHead head;
    head.m_method = std::string(message.method_string());
    head.m_target = std::string(message.target());
    head.m_fields = endToEndFields(message);
    if (const auto length = parser.content_length())
        head.m_bodyBytes = *length;
    head.m_hasBody = parser.chunked() || head.m_bodyBytes.value_or(0) > 0;
    return head;
}

bool hasNoBody(int status)
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace

HttpExchange::HttpExchange(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                           Parser &parser, const HttpLimits &limits)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_parser(parser)
    , m_limits(limits)
    , m_request(toHead(parser))
    , m_headRequest(parser.get().method() == http::verb::head)
    , m_keepAlive(parser.get().keep_alive())
    , m_version(parser.get().version())
{
}

void HttpExchange::extendTimeout()
{
    m_stream.expires_after(m_limits.m_progressTimeout);
}

void HttpExchange::limitBody(std::uint64_t bytes)
{
    m_parser.body_limit(std::min<std::uint64_t>(bytes, m_limits.m_bodyBytes));
}

bool HttpExchange::bodyRead() const
{
    return m_parser.is_done();
}

Task<HttpExchange::BodyRead> HttpExchange::readBody(std::string &data, std::size_t maximumBytes)
{
    data.clear();
    if (m_parser.is_done())
        co_return BodyRead::End;
    if (!m_continueSent && equalNames(m_parser.get()[http::field::expect], "100-continue")) {
        m_continueSent = true;
        extendTimeout();
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [error, bytes] =
                co_await boost::asio::async_write(m_stream, boost::asio::buffer(interim), AsTuple);
        if (error)
            co_return BodyRead::Failed;
    }
    data.resize(maximumBytes);
    auto &body = m_parser.get().body();
    body.data = data.data();
    body.size = data.size();
    extendTimeout();
    const auto [error, bytes] = co_await http::async_read(m_stream, m_buffer, m_parser, AsTuple);
    data.resize(maximumBytes - body.size);
    if (error == http::error::body_limit)
        co_return BodyRead::TooLarge;
    if (error && error != http::error::need_buffer)
        co_return BodyRead::Failed;
    co_return data.empty() && m_parser.is_done() ? BodyRead::End : BodyRead::Data;
}

Task<HttpExchange::BodyRead> HttpExchange::readWholeBody(std::string &data)
{
    data.clear();
    std::string part;
    for (;;) {
        const BodyRead result = co_await readBody(part, ReadChunkBytes);
        if (result == BodyRead::End)
            co_return BodyRead::Data;
        if (result != BodyRead::Data)
            co_return result;
        data += part;
    }
}

Task<bool> HttpExchange::respond(const HttpResponseHead &head, std::string_view body)
{
    HttpResponseHead sized = head;
    if (!hasNoBody(head.m_status))
        sized.m_bodyBytes = body.size();
    if (!co_await startResponse(sized))
        co_return false;
    if (!body.empty() && !co_await writeBody(body))
        co_return false;
    co_return co_await finishResponse();
}

Task<bool> HttpExchange::startResponse(const HttpResponseHead &head)
{
    stopWatching();
    m_response = Response(http::status::ok, m_version);
    m_response.result(static_cast<unsigned>(head.m_status));
    for (const HttpField &field : head.m_fields)
        m_response.insert(field.m_name, field.m_value);
    // Unread bytes of the request body would be parsed as the next request.
    if (!m_parser.is_done())
        m_keepAlive = false;
    if (!hasNoBody(head.m_status)) {
        if (head.m_bodyBytes)
            m_response.content_length(*head.m_bodyBytes);
        else if (m_version == 11)
            m_response.chunked(true);
        else
            m_keepAlive = false;
    }
    m_response.keep_alive(m_keepAlive);
    m_response.body().data = nullptr;
    m_response.body().size = 0;
    m_response.body().more = true;
    m_serializer.emplace(m_response);
    extendTimeout();
    const auto [error, bytes] = co_await http::async_write_header(m_stream, *m_serializer, AsTuple);
    co_return !error;
}

Task<bool> HttpExchange::writeBody(std::string_view data)
{
    if (m_headRequest || data.empty())
        co_return true;
    m_response.body().data = const_cast<char *>(data.data());
    m_response.body().size = data.size();
    m_response.body().more = true;
    extendTimeout();
    const auto [error, bytes] = co_await http::async_write(m_stream, *m_serializer, AsTuple);
    co_return !error || error == http::error::need_buffer;
}

Task<bool> HttpExchange::finishResponse()
{
    if (!m_headRequest) {
        m_response.body().data = nullptr;
        m_response.body().size = 0;
        m_response.body().more = false;
        extendTimeout();
        const auto [error, bytes] = co_await http::async_write(m_stream, *m_serializer, AsTuple);
        if (error)
            co_return false;
    }
    m_reusable = m_keepAlive;
    co_return true;
}

void HttpExchange::abort()
{
    m_reusable = false;
    stopWatching();
    boost::system::error_code ignored;
    // A response without a length ends when the connection closes; only a TCP reset shows the
    // client that such a response is incomplete.
    m_stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
}

void HttpExchange::watchDisconnect(std::shared_ptr<Signal> disconnected)
{
    m_stream.expires_never();
    *m_watching = true;
    m_stream.socket().async_wait(
            boost::asio::socket_base::wait_read,
            [socket = &m_stream.socket(), watching = m_watching, closed = m_disconnected,
             signal = std::move(disconnected)](boost::system::error_code error) {
                if (error || !*watching)
                    return;
                char next = 0;
                const ssize_t count =
                        ::recv(socket->native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
                if (count > 0 || (count < 0 && errno == EAGAIN))
                    return;
                *closed = true;
                signal->notify();
            });
}

void HttpExchange::stopWatching()
{
    if (!*m_watching)
        return;
    *m_watching = false;
    m_watching = std::make_shared<bool>(false);
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
}

} // namespace chervilmount::adapters
