#include "relay/http/httpclientconnection.h"

#include "adapters/http/responsehead.h"
#include "relay/http/chunkline.h"
#include "relay/http/socketoptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace chervilmount::relay {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadBytes = 8192;
constexpr std::uint32_t MaximumHeadBytes = 32U * 1024;
/** Interim responses, and late ones to earlier requests, that are skipped before one response. A
 * backend server that sends them without end would keep the node busy until the deadline. */
constexpr int MostSkippedResponses = 16;
/** Idle time that is assumed if the backend server states none. */
constexpr std::chrono::seconds DefaultIdleTime{8};
/** A request that is sent this shortly before the idle timeout may meet the closing. */
constexpr std::chrono::milliseconds IdleMargin{700};

/** @returns the time after which an idle connection is not used any more. */
std::chrono::milliseconds idleTime(const HttpResponse &response)
{
    const std::string_view value = fieldValue(response, "Keep-Alive");
    constexpr std::string_view Name = "timeout=";
    const std::size_t found = value.find(Name);
    if (found == std::string_view::npos)
        return DefaultIdleTime - IdleMargin;
    const std::string_view rest = value.substr(found + Name.size());
    const std::int64_t seconds = parseNumber(rest.substr(0, rest.find_first_of(", ;")));
    if (seconds < 0)
        return DefaultIdleTime - IdleMargin;
    return std::max(std::chrono::milliseconds{0}, std::chrono::seconds(seconds) - IdleMargin);
}

} // namespace

HttpClientConnection::HttpClientConnection(boost::asio::io_context &context, std::string idField,
                                           std::size_t maximumResponseBytes,
                                           std::shared_ptr<BodyBudget> bodies)
    : m_socket(context)
    , m_idField(std::move(idField))
    , m_maximumResponseBytes(maximumResponseBytes)
    , m_bodies(std::move(bodies))
{
}

void HttpClientConnection::connect(const boost::asio::ip::tcp::endpoint &endpoint,
                                   std::function<void(bool)> callback)
{
    m_socket.async_connect(endpoint,
                           [self = shared_from_this(),
                            callback = std::move(callback)](boost::system::error_code error) {
                               if (self->m_closed)
                                   return;
                               if (error) {
                                   self->close();
                                   callback(false);
                                   return;
                               }
                               setConnectionOptions(self->m_socket);
                               limitUnacknowledgedTime(self->m_socket);
                               callback(true);
                           });
}

void HttpClientConnection::exchange(HttpRequest request, std::string id, Callback callback)
{
    m_request = std::move(request);
    m_id = std::move(id);
    m_callback = std::move(callback);
    m_receivedBytes = false;
    m_skippedResponses = 0;
    startResponse();
    boost::system::error_code ignored;
    if (m_id.empty() && m_socket.available(ignored) > 0) {
        rejectEarlyBytes();
        return;
    }
    m_writing = true;
    http::async_write(
            m_socket, m_request,
            [self = shared_from_this()](boost::system::error_code error, std::size_t /*bytes*/) {
                self->m_writing = false;
                // The response may still arrive after a failed write; reading decides. A broken
                // pipe says that the server had ended its bytes in order before the connection
                // failed.
                self->m_wasReset = error && error != boost::asio::error::broken_pipe;
            });
    read();
}

void HttpClientConnection::rejectEarlyBytes()
{
    // The caller of exchange() may not expect its callback before that returns.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed)
            self->broken("bytes arrived before the request was sent");
    });
}

void HttpClientConnection::close()
{
    m_closed = true;
    m_callback = nullptr;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

bool HttpClientConnection::isReusable(TimePoint now) const
{
    return !m_closed && !m_callback && !m_writing && m_keepAlive && m_buffer.size() == 0
            && now < m_idleUntil;
}

void HttpClientConnection::read()
{
    if (m_reading || m_closed)
        return;
    m_reading = true;
    m_socket.async_read_some(
            m_buffer.prepare(ReadBytes),
            [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                self->received(error, bytes);
            });
}

void HttpClientConnection::received(boost::system::error_code error, std::size_t bytes)
{
    m_reading = false;
    if (m_closed)
        return;
    if (!m_callback) {
        // An idle connection was closed, or carries bytes that belong to no request.
        close();
        return;
    }
    if (error == boost::asio::error::eof) {
        endOfInput();
        return;
    }
    if (error) {
        finish({ExchangeStatus::Broken, m_receivedBytes, {}, {}});
        return;
    }
    m_receivedBytes = true;
    m_buffer.commit(bytes);
    parse();
}

void HttpClientConnection::endOfInput()
{
    m_keepAlive = false;
    if (!m_writing) {
        completeAtEnd();
        return;
    }
    // A socket reports a reset once: if the write has received it, the read finds a plain end, and
    // the completion of the write may still be queued.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed)
            self->completeAtEnd();
    });
}

void HttpClientConnection::completeAtEnd()
{
    boost::system::error_code error = http::error::partial_message;
    if (m_parser->got_some())
        m_parser->put_eof(error);
    if (error || !m_parser->is_done()) {
        finish({ExchangeStatus::Broken, m_receivedBytes, {}, {}});
        return;
    }
    // A response without a length ends with the connection, provided that it was not reset.
    if (m_wasReset)
        broken("the connection was reset within a response without a length");
    else
        completeResponse();
}

void HttpClientConnection::parse()
{
    boost::system::error_code error;
    if (!m_parser->is_header_done())
        parseHead(error);
    if (!error && !m_parser->is_done() && m_buffer.size() > 0)
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error && error != http::error::need_more) {
        broken(error.message());
        return;
    }
    if (hasTooLongChunkLine(*m_parser, m_buffer.size())) {
        broken("the line before a chunk is too long");
        return;
    }
    if (!m_body.resizeFairly(m_parser->get().body().size())) {
        broken("no memory for the body of the response");
        return;
    }
    if (m_parser->is_done()) {
        completeResponse();
        return;
    }
    read();
}

void HttpClientConnection::parseHead(boost::system::error_code &error)
{
    const std::size_t used = adapters::putResponseHead(*m_parser, m_buffer.data(), error);
    m_buffer.consume(used);
    // The parser bounds only the bytes that it has not used yet.
    m_headBytes += used;
    if (m_headBytes > MaximumHeadBytes)
        error = http::error::header_limit;
    if (error)
        return;
    // Further calls parse the body up to the last byte that is there.
    m_parser->eager(true);
    if (m_parser->chunked())
        m_headFields = m_parser->get().base();
}

void HttpClientConnection::startResponse()
{
    m_body = BodyShare(m_bodies);
    m_headFields.reset();
    m_headBytes = 0;
    m_parser.emplace();
    m_parser->header_limit(MaximumHeadBytes);
    m_parser->body_limit(m_maximumResponseBytes);
    m_parser->skip(m_request.method() == http::verb::head);
}

void HttpClientConnection::completeResponse()
{
    const bool keepAlive = m_parser->keep_alive();
    HttpResponse response = m_parser->release();
    // The parser adds the fields of a trailer to those of the head, where they would count as such.
    if (m_headFields)
        response.base() = *std::exchange(m_headFields, std::nullopt);
    const std::string_view id = fieldValue(response, m_idField);
    // Not all interim responses (1xx) are known to the library by name.
    const bool interim = response.result_int() / 100 == 1;
    if (interim || belongsToEarlierRequest(id)) {
        skipResponse(keepAlive);
        return;
    }
    m_keepAlive = m_keepAlive && keepAlive;
    m_idleUntil = std::chrono::steady_clock::now() + idleTime(response);
    finish({ExchangeStatus::Answered, true, std::move(response), {}});
}

bool HttpClientConnection::belongsToEarlierRequest(std::string_view id) const
{
    if (m_id.empty())
        return false;
    // Without an identifier it may be a copy of an earlier response, if there was one.
    return id.empty() ? m_exchanges > 0 || m_skippedResponses > 0 : id != m_id;
}

void HttpClientConnection::skipResponse(bool keepAlive)
{
    if (!keepAlive || !m_keepAlive) {
        broken("the connection ends after the response to another request");
        return;
    }
    if (++m_skippedResponses > MostSkippedResponses) {
        broken("too many responses that belong to no request");
        return;
    }
    startResponse();
    if (m_buffer.size() > 0)
        parse();
    else
        read();
}

void HttpClientConnection::broken(const std::string &problem)
{
    finish({ExchangeStatus::Broken, true, {}, problem});
}

void HttpClientConnection::finish(ExchangeResult result)
{
    const Callback callback = std::exchange(m_callback, nullptr);
    m_parser.reset();
    m_body = BodyShare();
    ++m_exchanges;
    const bool reusable = result.m_status == ExchangeStatus::Answered && m_keepAlive && !m_writing
            && m_buffer.size() == 0;
    if (reusable)
        read();
    else
        close();
    if (callback)
        callback(std::move(result));
}

} // namespace chervilmount::relay
