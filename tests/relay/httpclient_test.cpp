#include "relay/clientcase.h"

using namespace chervilmount::relay;
using namespace std::chrono_literals;

namespace {

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
}

} // namespace

// Guards against a backend server in trouble that takes the memory or the processor time of the
// node: whatever it sends without end, the exchange ends and the connection is closed.
TEST_CASE("A response without end is broken off, whatever does not end in it")
{
    struct Endless
    {
        const char *m_start;
        const char *m_bytes;
    };
    const Endless endless = GENERATE(
            Endless{"", "no http "}, Endless{"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
            Endless{"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "body until the end of the connection"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 900000000\r\n\r\n", "x"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 900000\r\n\r\n", "x"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "5\r\nabcde\r\n"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=",
                    "x"},
            Endless{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                    "X-Trailer: more\r\n"},
            Endless{"", "HTTP/1.1 100 Continue\r\n\r\n"},
            Endless{"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"});
    CAPTURE(endless.m_start, endless.m_bytes);
    ClientCase test;
    test.request("a");
    CHECK(test.sendsUntilClosed(endless.m_start, endless.m_bytes));
    REQUIRE(test.m_result);
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
    CHECK(test.m_bodies->m_used == 0);
}

// Guards against the answer to another request, sent twice or late, that reaches the next caller.
TEST_CASE("A second copy of an answer does not answer the next request")
{
    ClientCase test;
    test.request("a");
    test.m_server->send(response("a", "first"));
    test.awaitResult();
    CHECK(test.m_result->m_response.body() == "first");
    SECTION("it arrives after the next request was sent")
    {
        test.request("b");
        test.m_server->send(response("a", "first") + response("b", "second"));
        test.awaitResult();
        REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
        CHECK(test.m_result->m_response.body() == "second");
    }
    SECTION("it arrives while the connection is idle")
    {
        test.m_server->send(response("a", "first"));
        CHECK(runUntil(test.m_context, [&test] { return test.m_client->isClosed(); }));
        CHECK_FALSE(test.m_client->isReusable(std::chrono::steady_clock::now()));
    }
}

// Guards against an interim response that is taken for the answer.
TEST_CASE("Interim responses are skipped")
{
    ClientCase test;
    test.request("a");
    test.m_server->send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        + response("a", "final"));
    test.awaitResult();
    REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
    CHECK(test.m_result->m_response.body() == "final");
}

// Guards against an answer that broke off halfway and counts as whole.
TEST_CASE("An answer that breaks off is broken")
{
    const std::string part = GENERATE(
            as<std::string>(), "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n01234",
            "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n",
            "HTTP/1.1 200 OK\r\nId: a\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    CAPTURE(part);
    ClientCase test;
    test.request("a");
    test.m_server->send(part);
    test.m_server->close();
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
}

// Guards against a success with an empty or short body that is passed on as whole: a backend server
// stopped in the middle of its answer's head and closed.
TEST_CASE("An answer that breaks off at any byte is broken, and whole once the rest has come")
{
    const std::string answer = GENERATE(
            as<std::string>(), response("a", "body"), response("a", ""),
            "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
    const bool closes = GENERATE(true, false);
    for (std::size_t cut = 0; cut < answer.size(); ++cut) {
        INFO("cut at byte " << cut << " of " << answer);
        ClientCase test;
        test.request("a");
        test.awaitRequest();
        test.m_server->send(answer.substr(0, cut));
        if (closes) {
            test.m_server->close();
            test.awaitResult();
            CHECK(test.m_result->m_status == ExchangeStatus::Broken);
            continue;
        }
        runUntil(
                test.m_context, [&test] { return test.m_result.has_value(); }, 2ms);
        CHECK_FALSE(test.m_result.has_value());
        test.m_server->send(answer.substr(cut));
        test.awaitResult();
        CHECK(test.m_result->m_status == ExchangeStatus::Answered);
    }
}

// Guards against the same for an answer that has no length: its head has to be whole, and its
// connection to end without a reset.
TEST_CASE("An answer without a length is whole only behind a whole head")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n";
    for (std::size_t cut = 0; cut <= head.size(); ++cut) {
        INFO("cut at byte " << cut);
        ClientCase test;
        test.request("a");
        test.awaitRequest();
        test.m_server->send(head.substr(0, cut));
        test.m_server->close();
        test.awaitResult();
        CHECK((test.m_result->m_status == ExchangeStatus::Answered) == (cut == head.size()));
    }
}

// Guards against the rest of a body that a later request is taken for: a backend server may answer
// before it has read the body, and reads on.
TEST_CASE("A connection whose request was answered before its body was sent is not used again")
{
    ClientCase test;
    test.m_server->stopReading();
    test.request("a", std::string(20UL * 1024 * 1024, 'x'));
    test.m_server->send(response("a", "early"));
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Answered);
    CHECK(test.m_result->m_response.body() == "early");
    CHECK_FALSE(test.m_client->isReusable(std::chrono::steady_clock::now()));
    CHECK(test.m_client->isClosed());
}
