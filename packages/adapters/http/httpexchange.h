#pragma once

#include "adapters/http/httplimits.h"
#include "adapters/http/httpmessage.h"
#include "adapters/tasks/signal.h"
#include "adapters/tasks/task.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::adapters {

/** One request on a connection of a listener, and its response. */
class HttpExchange
{
public:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    /** Result of reading a part of the body. */
    enum class BodyRead { Data, End, TooLarge, Failed };

    HttpExchange(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                 Parser &parser, const HttpLimits &limits);

    const HttpRequestHead &request() const { return m_request; }

    /** Lowers the listener's limit of the body size; call before the first readBody. */
    void limitBody(std::uint64_t bytes);

    /** Reads the next part of the request body into data (at most maximumBytes). */
    Task<BodyRead> readBody(std::string &data, std::size_t maximumBytes);

    /**
     * Reads the body to its end.
     * @returns Data on success.
     */
    Task<BodyRead> readWholeBody(std::string &data);

    /** @returns true if the whole request body has been read. */
    bool bodyRead() const;

    /** Sends a complete response. @returns false if the connection failed. */
    Task<bool> respond(const HttpResponseHead &head, std::string_view body);

    /** Sends the head of a response whose body follows. @returns false on failure. */
    Task<bool> startResponse(const HttpResponseHead &head);

    /** Sends a part of the body. @returns false if the connection failed. */
    Task<bool> writeBody(std::string_view data);

    /** Ends the body. @returns false if the connection failed. */
    Task<bool> finishResponse();

    /** Resets the connection so that the client sees an incomplete response. */
    void abort();

    bool responseStarted() const { return m_serializer.has_value(); }

    /** @returns true if the connection can carry another request. */
    bool reusable() const { return m_reusable; }

    /** Makes this the last request of its connection. */
    void closeAfterResponse() { m_keepAlive = false; }

    /**
     * Detects a client that disconnects before its response starts. The body must have been read.
     * @param disconnected notified when the client has closed; see isDisconnected().
     */
    void watchDisconnect(std::shared_ptr<Signal> disconnected);

    /** Stops the detection of disconnects. */
    void stopWatching();

    bool isDisconnected() const { return *m_disconnected; }

private:
    using Response = boost::beast::http::response<boost::beast::http::buffer_body>;
    using Serializer = boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

    void extendTimeout();

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    Parser &m_parser;
    const HttpLimits &m_limits;
    HttpRequestHead m_request;
    bool m_headRequest = false;
    bool m_keepAlive = true;
    bool m_reusable = false;
    bool m_continueSent = false;
    unsigned m_version = 11;
    Response m_response;
    std::optional<Serializer> m_serializer;
    std::shared_ptr<bool> m_disconnected = std::make_shared<bool>(false);
    std::shared_ptr<bool> m_watching = std::make_shared<bool>(false);
};

} // namespace chervilmount::adapters
