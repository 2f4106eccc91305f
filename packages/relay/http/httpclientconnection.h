#pragma once

#include "relay/http/bodybudget.h"
#include "relay/http/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::relay {

enum class ExchangeStatus {
    /** A whole response to this request was received. */
    Answered,
    /** No connection; the request was not sent. */
    NotConnected,
    /** The connection ended or carried something that is no response to this request. */
    Broken
};

/** How an exchange with a backend server ended. */
struct ExchangeResult
{
    ExchangeStatus m_status = ExchangeStatus::Broken;
    /** Bytes of a response had arrived. */
    bool m_receivedBytes = false;
    HttpResponse m_response;
    /** What was wrong with a broken exchange; empty if the connection just ended. */
    std::string m_problem;
};

/** One HTTP connection to a server; runs one exchange at a time. */
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Callback = std::function<void(ExchangeResult)>;

    /**
     * @param idField header field in which responses repeat the request's identifier.
     * @param maximumResponseBytes longest accepted body.
     * @param bodies bound of all bodies of the process; none for no bound.
     */
    HttpClientConnection(boost::asio::io_context &context, std::string idField,
                         std::size_t maximumResponseBytes,
                         std::shared_ptr<BodyBudget> bodies = nullptr);

    /** Connects; the callback gets whether it succeeded. */
    void connect(const boost::asio::ip::tcp::endpoint &endpoint,
                 std::function<void(bool)> callback);

    /**
     * Sends a request and waits for the response that carries the same identifier. Responses with
     * another one, and on a used connection those without one, are late answers to earlier requests
     * and are dropped.
     * @param id identifier that the response must repeat; empty accepts any response, unless bytes
     * have arrived before the request is sent.
     */
    void exchange(HttpRequest request, std::string id, Callback callback);

    /** Ends the connection; a running exchange gets no callback. */
    void close();

    /** @returns whether another request may be sent. */
    bool isReusable(TimePoint now) const;

    bool isClosed() const { return m_closed; }
    /** @returns whether an exchange has ended here before. */
    bool hasBeenUsed() const { return m_exchanges > 0; }

private:
    void rejectEarlyBytes();
    void read();
    void received(boost::system::error_code error, std::size_t bytes);
    void endOfInput();
    void completeAtEnd();
    void parse();
    void parseHead(boost::system::error_code &error);
    void startResponse();
    void completeResponse();
    /** @param id identifier that the response repeats, or an empty text. */
    bool belongsToEarlierRequest(std::string_view id) const;
    void skipResponse(bool keepAlive);
    void broken(const std::string &problem);
    void finish(ExchangeResult result);

    boost::asio::ip::tcp::socket m_socket;
    std::string m_idField;
    std::size_t m_maximumResponseBytes;
    std::shared_ptr<BodyBudget> m_bodies;
    /** Bytes of the body that is being read. */
    BodyShare m_body;
    boost::beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::string m_id;
    Callback m_callback;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    /** Bytes of the head that the parser has used. */
    std::size_t m_headBytes = 0;
    /** Head of a response whose body comes in chunks, which a trailer may follow. */
    std::optional<HttpResponse::header_type> m_headFields;
    TimePoint m_idleUntil;
    int m_exchanges = 0;
    /** Responses that did not belong to the request under way. */
    int m_skippedResponses = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_receivedBytes = false;
    /** A write has found the connection failed before the end of the server's bytes. */
    bool m_wasReset = false;
    bool m_keepAlive = true;
    bool m_closed = false;
};

} // namespace chervilmount::relay
