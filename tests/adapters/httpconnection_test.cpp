#include "adapters/adapters.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace chervilmount::adapters;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

constexpr std::size_t HeadBytes = 16UL * 1024;
/** More than the system takes at once, so that the request is still being written. */
constexpr std::size_t UploadBytes = 20UL * 1024 * 1024;

/** What a client made of one answer. */
struct Outcome
{
    std::optional<HttpResponseHead> m_head;
    std::string m_body;
    bool m_isComplete = false;
};

/** A connection to a server whose bytes the test writes. */
struct ConnectionCase
{
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    HttpConnection m_client{m_context.get_executor(), HeadBytes};
    asio::ip::tcp::socket m_server{m_context};
    std::optional<Outcome> m_outcome;

    void begin(std::size_t bodyBytes)
    {
        asio::co_spawn(m_context, exchange(bodyBytes), asio::detached);
        m_acceptor.async_accept(m_server, [](boost::system::error_code) {});
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!m_server.is_open() && std::chrono::steady_clock::now() < end)
            runFor(2ms);
        REQUIRE(m_server.is_open());
        runFor(50ms);
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_server, asio::buffer(bytes), ignored);
    }

    void endOutput() { m_server.shutdown(asio::ip::tcp::socket::shutdown_send); }

    void reset()
    {
        m_server.set_option(asio::socket_base::linger(true, 0));
        m_server.close();
    }

    void runFor(std::chrono::milliseconds duration)
    {
        m_context.restart();
        m_context.run_for(duration);
    }

    Outcome awaitOutcome()
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!m_outcome && std::chrono::steady_clock::now() < end)
            runFor(2ms);
        REQUIRE(m_outcome);
        return *m_outcome;
    }

private:
    Task<> exchange(std::size_t bodyBytes)
    {
        const auto until = std::chrono::steady_clock::now() + 5s;
        const boost::system::error_code error =
                co_await m_client.connect(m_acceptor.local_endpoint(), until);
        if (error)
            co_return;
        HttpRequestHead head;
        head.m_method = bodyBytes > 0 ? "POST" : "GET";
        head.m_target = "/";
        head.m_hasBody = bodyBytes > 0;
        head.m_bodyBytes = bodyBytes;
        bool sent = co_await m_client.writeHead(head);
        const std::string body(bodyBytes, 'x');
        if (sent && head.m_hasBody)
            sent = co_await m_client.writeBody(body);
        if (sent && head.m_hasBody)
            co_await m_client.finishBody();
        Outcome outcome;
        outcome.m_head = co_await m_client.readHead();
        HttpConnection::BodyRead read = HttpConnection::BodyRead::Data;
        while (outcome.m_head && read == HttpConnection::BodyRead::Data) {
            std::string part;
            read = co_await m_client.readBody(part, 4096);
            outcome.m_body += part;
        }
        outcome.m_isComplete = read == HttpConnection::BodyRead::End;
        m_outcome = outcome;
    }
};

} // namespace

// Guards against part of a body that callers get as whole: the write of the request receives the
// reset, and the read that follows finds a plain end.
TEST_CASE("A body without a length that a reset cuts beside an upload is not complete")
{
    ConnectionCase test;
    test.begin(UploadBytes);
    test.send("HTTP/1.1 200 OK\r\n\r\npart of the body");
    test.reset();
    CHECK_FALSE(test.awaitOutcome().m_isComplete);
}

// Guards against a check that fails sound answers.
TEST_CASE("A body without a length is complete at the end of the connection")
{
    ConnectionCase test;
    const bool upload = GENERATE(false, true);
    test.begin(upload ? UploadBytes : 0);
    test.send("HTTP/1.1 200 OK\r\n\r\nwhole body");
    test.endOutput();
    // The rest of the upload is unread, so closing resets the connection behind the end.
    test.m_server.close();
    const Outcome outcome = test.awaitOutcome();
    CHECK(outcome.m_isComplete);
    CHECK(outcome.m_body == "whole body");
}

// Guards against answers that are none in HTTP and are passed on.
TEST_CASE("A malformed head of an answer fails")
{
    const std::string head =
            GENERATE(as<std::string>(), "HTTP/1.1 000 None\r\n", "HTTP/1.1 099 None\r\n",
                     "HTTP/1.1 600 None\r\n", "HTTP/1.1 101 Switching\r\n", "HTTP/1.1 20 None\r\n",
                     "HTTP/1.1 2000 None\r\n", "HTTP/1.1 200 OK\r\n Name: x\r\n",
                     "HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n", "HTTP/1.1 200 OK\r\nNa me: x\r\n",
                     "HTTP/1.1 200 OK\r\nName : x\r\n", "HTTP/1.1 200 OK\r\nNa\x01me: x\r\n",
                     "HTTP/1.1 200 OK\r\nName: \x01\r\n", "HTTP/1.1 200 OK\r\n: x\r\n",
                     "HTTP/1.1 200 OK\r\nName\r\n", "HTTP/1.1 200 OK\r\nName: x\nY: z\r\n",
                     "HTTP/1.1 200 OK\r\nName: x\rY: z\r\n",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n");
    const std::string framing =
            GENERATE(as<std::string>(), "Content-Length: 4\r\n\r\nbody", "\r\nbody");
    CAPTURE(head, framing);
    ConnectionCase test;
    test.begin(0);
    test.send(head + framing);
    test.endOutput();
    CHECK_FALSE(test.awaitOutcome().m_head);
}

// Guards against a process that runs out of memory: the parser bounds only the bytes of a head that
// it has not used yet, which stay few if each segment ends just behind the start of a line.
TEST_CASE("A head that arrives line by line without end fails")
{
    ConnectionCase test;
    test.begin(0);
    test.send("HTTP/1.1 200 OK\r\nX");
    int lines = 0;
    while (!test.m_outcome && lines < 2000) {
        test.send("-More: " + std::string(90, 'x') + "\r\nX");
        test.m_context.restart();
        test.m_context.poll();
        ++lines;
    }
    CHECK_FALSE(test.awaitOutcome().m_head);
    CHECK(lines < 2000);
}
