#include "adapters/http/httpconnection.h"

#include "adapters/http/responsehead.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <utility>

namespace chervilmount::adapters {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadAheadBytes = 64UL * 1024;
constexpr std::size_t HeadReadBytes = 8192;

// Interim (1xx) responses accepted before the final response; more fail the read.
constexpr int MaximumInterimResponses = 8;

} // namespace

HttpConnection::HttpConnection(const boost::asio::any_io_executor &executor, std::size_t headBytes)
    : m_stream(executor)
    , m_headBytes(headBytes)
    , m_buffer(headBytes + ReadAheadBytes)
{
}

Task<boost::system::error_code> HttpConnection::connect(boost::asio::ip::tcp::endpoint endpoint,
                                                        std::chrono::steady_clock::time_point until)
{
    m_endpoint = endpoint;
    m_host = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    m_stream.expires_at(until);
    const auto [error] = co_await m_stream.async_connect(endpoint, AsTuple);
    if (!error) {
        boost::system::error_code ignored;
        m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }
    co_return error;
}

void HttpConnection::setDeadline(std::chrono::steady_clock::time_point until)
{
    m_stream.expires_at(until);
}

Task<bool> HttpConnection::writeHead(const HttpRequestHead &head)
{
    m_reusable = false;
    m_requestSent = true;
    m_parser.reset();
    m_request = Request();
    m_request.version(11);
    m_request.method_string(head.m_method);
    m_headRequest = head.m_method == "HEAD";
    m_request.target(head.m_target);
    for (const HttpField &field : head.m_fields)
        m_request.insert(field.m_name, field.m_value);
    if (m_request.find(http::field::host) == m_request.end())
        m_request.set(http::field::host, m_host);
    if (head.m_hasBody && head.m_bodyBytes)
        m_request.content_length(*head.m_bodyBytes);
    else if (head.m_hasBody)
        m_request.chunked(true);
    else if (head.m_method == "POST" || head.m_method == "PUT")
        m_request.content_length(0);
    m_bodyFinished = !head.m_hasBody;
    m_request.body().data = nullptr;
    m_request.body().size = 0;
    m_request.body().more = head.m_hasBody;
    m_serializer.emplace(m_request);
    const auto [error, bytes] = co_await http::async_write_header(m_stream, *m_serializer, AsTuple);
    recordWrite(error);
    co_return !error;
}

Task<bool> HttpConnection::writeBody(std::string_view data)
{
    if (data.empty())
        co_return true;
    m_request.body().data = const_cast<char *>(data.data());
    m_request.body().size = data.size();
    m_request.body().more = true;
    const auto [error, bytes] = co_await http::async_write(m_stream, *m_serializer, AsTuple);
    if (error != http::error::need_buffer)
        recordWrite(error);
    co_return !error || error == http::error::need_buffer;
}

Task<bool> HttpConnection::finishBody()
{
    m_request.body().data = nullptr;
    m_request.body().size = 0;
    m_request.body().more = false;
    const auto [error, bytes] = co_await http::async_write(m_stream, *m_serializer, AsTuple);
    m_bodyFinished = !error;
    recordWrite(error);
    co_return !error;
}

Task<std::optional<HttpResponseHead>> HttpConnection::readHead()
{
    for (int interim = 0; interim < MaximumInterimResponses; ++interim) {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_headBytes));
        m_parser->body_limit(boost::none);
        m_parser->skip(m_headRequest);
        const bool isWhole = co_await parseHead();
        if (!isWhole)
            co_return std::nullopt;
        const auto &message = m_parser->get();
        if (message.result_int() < 200)
            continue;
        HttpResponseHead head;
        head.m_status = static_cast<int>(message.result_int());
        head.m_fields = endToEndFields(message);
        if (const auto length = m_parser->content_length())
            head.m_bodyBytes = *length;
        if (m_parser->is_done())
            m_reusable = m_bodyFinished && m_parser->keep_alive();
        co_return head;
    }
    co_return std::nullopt;
}

Task<HttpConnection::BodyRead> HttpConnection::readBody(std::string &data, std::size_t maximumBytes)
{
    data.clear();
    if (m_parser->is_done()) {
        m_reusable = m_bodyFinished && m_parser->keep_alive();
        co_return endOfBody();
    }
    data.resize(maximumBytes);
    auto &body = m_parser->get().body();
    body.data = data.data();
    body.size = data.size();
    const auto [error, bytes] = co_await http::async_read(m_stream, m_buffer, *m_parser, AsTuple);
    data.resize(maximumBytes - body.size);
    if (error && error != http::error::need_buffer)
        co_return BodyRead::Failed;
    if (m_parser->is_done())
        m_reusable = m_bodyFinished && m_parser->keep_alive();
    co_return data.empty() && m_parser->is_done() ? endOfBody() : BodyRead::Data;
}

Task<bool> HttpConnection::parseHead()
{
    std::size_t used = 0;
    for (;;) {
        boost::system::error_code error = http::error::need_more;
        if (m_buffer.size() > 0) {
            const std::size_t bytes = putResponseHead(*m_parser, m_buffer.data(), error);
            m_buffer.consume(bytes);
            used += bytes;
        }
        // The parser bounds the bytes that it has not used yet.
        if (used > m_headBytes || (error && error != http::error::need_more))
            co_return false;
        if (!error)
            co_return true;
        const auto [readError, received] =
                co_await m_stream.async_read_some(m_buffer.prepare(HeadReadBytes), AsTuple);
        if (readError)
            co_return false;
        m_buffer.commit(received);
    }
}

void HttpConnection::recordWrite(boost::system::error_code error)
{
    // A broken pipe says that the server had ended its bytes in order before the connection failed.
    m_wasReset = m_wasReset || (error && error != boost::asio::error::broken_pipe);
}

HttpConnection::BodyRead HttpConnection::endOfBody() const
{
    // A socket reports a reset once. If a write has received it, the end that a read finds does not
    // show that a body without a length is whole.
    return m_wasReset && m_parser->need_eof() ? BodyRead::Failed : BodyRead::End;
}

bool HttpConnection::isStillIdle()
{
    if (!m_stream.socket().is_open() || m_buffer.size() > 0)
        return false;
    char next = 0;
    const ssize_t count =
            ::recv(m_stream.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && errno == EAGAIN;
}

void HttpConnection::close()
{
    m_stream.close();
}

} // namespace chervilmount::adapters
