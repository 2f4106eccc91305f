#include "adapters/http/httplistener.h"
#include "node/entry/replies.h"
#include "node/support/fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <zmq.hpp>

#include <catch2/catch.hpp>

using namespace chervilmount;
using boost::asio::ip::tcp;

namespace {

/** Sends bytes on a new connection and returns everything received until the node closes it. */
adapters::Task<std::string> sendRaw(std::string address, std::string bytes)
{
    tcp::socket socket(co_await boost::asio::this_coro::executor);
    const auto [error] =
            co_await socket.async_connect(adapters::parseEndpoint(address), adapters::AsTuple);
    REQUIRE(!error);
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), adapters::AsTuple);
    std::string received;
    std::string part(4096, ' ');
    for (;;) {
        const auto [readError, count] =
                co_await socket.async_read_some(boost::asio::buffer(part), adapters::AsTuple);
        if (readError)
            break;
        received.append(part, 0, count);
    }
    co_return received;
}

FakeBackend::Handler simple()
{
    return [](adapters::HttpExchange &exchange) -> adapters::Task<> {
        std::string body;
        co_await exchange.readWholeBody(body);
        co_await node::sendJson(exchange, 200, "{}");
    };
}

void useShortLimits(std::size_t, node::NodeSettings &settings)
{
    settings.m_callerLimits.m_headBytes = 2048;
    settings.m_callerLimits.m_connections = 4;
    settings.m_callerLimits.m_headTimeout = std::chrono::milliseconds(200);
    settings.m_callerLimits.m_progressTimeout = std::chrono::milliseconds(200);
    settings.m_backendHeadBytes = 2048;
}

} // namespace

// Guards against unbounded memory use by request heads, and heads that are not HTTP.
TEST_CASE("Oversized and malformed heads are refused as not run")
{
    Fleet fleet(1, useShortLimits);
    fleet.run([&fleet]() -> adapters::Task<> {
        const std::string address = fleet.settings(0).m_callerAddress;
        const std::string large = "GET /open HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n";
        const std::string refused = co_await sendRaw(address, large);
        CHECK(refused.starts_with("HTTP/1.1 431"));
        CHECK(refused.find("Chervilmount-Outcome: not-run") != std::string::npos);
        const std::string malformed = co_await sendRaw(address, "\x01\x02\x03 nonsense\r\n\r\n");
        CHECK(malformed.starts_with("HTTP/1.1 400"));
    });
}

// Guards against slow-sender attacks that keep connections open with incomplete heads or bodies.
TEST_CASE("Slow senders lose their connection")
{
    Fleet fleet(1, useShortLimits);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), simple());
        co_await prepareServing(fleet, backend, fleet.size() - 1, "slipdesk");
        const std::string address = fleet.settings(0).m_callerAddress;
        const auto start = std::chrono::steady_clock::now();
        const std::string slowHead = co_await sendRaw(address, "GET /open HTTP/1.1\r\nX: ");
        CHECK(slowHead.empty());
        const std::string slowBody = co_await sendRaw(
                address, "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc");
        CHECK(slowBody.find("HTTP/1.1 200") == std::string::npos);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
    });
}

// Guards against bodies beyond the route's limit, with and without Content-Length.
TEST_CASE("Bodies beyond the limit of the route are refused")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), simple());
        co_await prepareServing(fleet, backend, fleet.size() - 1, "slipdesk");
        TestRequest request;
        request.m_method = "POST";
        request.m_target = "/open";
        request.m_body = std::string(1024 * 1024 + 1, 'x');
        const TestResponse stated =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(stated.m_status == 413);
        CHECK(stated.m_head.field("Chervilmount-Outcome") == "not-run");
        CHECK(backend.m_requests == 0);
        request.m_chunked = true;
        const TestResponse chunked =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(chunked.m_status != 200);
    });
}

// Guards against connections that exhaust the file descriptors of the node.
TEST_CASE("Connections beyond the limit are closed and the node goes on serving")
{
    Fleet fleet(1, useShortLimits);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), simple());
        co_await prepareServing(fleet, backend, fleet.size() - 1, "slipdesk");
        const tcp::endpoint endpoint = adapters::parseEndpoint(fleet.settings(0).m_callerAddress);
        std::vector<tcp::socket> held;
        for (int index = 0; index < 20; ++index) {
            held.emplace_back(fleet.executor());
            const auto [error] = co_await held.back().async_connect(endpoint, adapters::AsTuple);
            REQUIRE(!error);
        }
        const std::function<bool()> hasRefused = [&fleet] {
            return fleet.node(0).callerCounters().m_refusedConnections >= 16;
        };
        const bool refused = co_await fleet.waitUntil(hasRefused);
        CHECK(refused);
        held.clear();
        co_await adapters::sleepFor(std::chrono::milliseconds(100));
        TestRequest request;
        request.m_target = "/open";
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(response.m_status == 200);
    });
}

// Guards against a crash or a blocked link when an authenticated peer sends malformed messages.
TEST_CASE("Malformed and oversized messages of a peer are dropped and counted")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        FakeBackend backend(fleet.executor(), simple());
        co_await prepareServing(fleet, backend, fleet.size() - 1, "slipdesk");
        const adapters::MeshKeys &keys = fleet.settings(0).m_meshKeys;
        zmq::context_t context(1);
        zmq::socket_t peer(context, zmq::socket_type::dealer);
        peer.set(zmq::sockopt::linger, 0);
        peer.set(zmq::sockopt::curve_serverkey, keys.m_publicKey);
        peer.set(zmq::sockopt::curve_publickey, keys.m_publicKey);
        peer.set(zmq::sockopt::curve_secretkey, keys.m_secretKey);
        peer.connect("tcp://" + fleet.settings(0).m_peerAddress);
        peer.send(zmq::buffer(std::string(100, '\xff')), zmq::send_flags::none);
        peer.send(zmq::buffer(std::string("two")), zmq::send_flags::sndmore);
        peer.send(zmq::buffer(std::string("parts")), zmq::send_flags::none);
        const std::function<bool()> isCounted = [&fleet] {
            return fleet.node(0).parts().m_transport->counters().m_malformed == 2;
        };
        const bool counted = co_await fleet.waitUntil(isCounted);
        CHECK(counted);
        peer.send(zmq::buffer(std::string(1024 * 1024, 'x')), zmq::send_flags::none);
        TestRequest request;
        request.m_target = "/open";
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(response.m_status == 200);
        CHECK(fleet.node(0).parts().m_transport->counters().m_malformed == 2);
    });
}

// Guards against unbounded memory use by response heads of the backend server.
TEST_CASE("An oversized response head of the backend server is answered as outcome unknown")
{
    Fleet fleet(1, useShortLimits);
    fleet.run([&fleet]() -> adapters::Task<> {
        const auto handler = [](adapters::HttpExchange &exchange) -> adapters::Task<> {
            adapters::HttpResponseHead head;
            head.m_status = 200;
            head.m_fields.push_back({"X-Large", std::string(8000, 'x')});
            co_await exchange.respond(head, "{}");
        };
        FakeBackend backend(fleet.executor(), handler);
        co_await prepareServing(fleet, backend, fleet.size() - 1, "slipdesk");
        TestRequest request;
        request.m_target = "/open";
        const TestResponse response =
                co_await sendRequest(fleet.settings(0).m_callerAddress, request);
        CHECK(response.m_status == 502);
        CHECK(response.m_head.field("Chervilmount-Outcome") == "unknown");
    });
}

// Guards against announcements that crash the node or introduce a malformed address.
TEST_CASE("Malformed announcements are rejected")
{
    Fleet fleet(1);
    fleet.run([&fleet]() -> adapters::Task<> {
        for (const char *body :
             {"", "[]", "{\"service\":1}",
              "{\"service\":\"a\",\"address\":\"b\",\"slots\":1,"
              "\"connections\":1}",
              "{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"slots\":-1,\"connections\":1}"}) {
            TestRequest request;
            request.m_method = "POST";
            request.m_target = "/backend/announce";
            request.m_body = body;
            const TestResponse response =
                    co_await sendRequest(fleet.settings(0).m_localAddress, request);
            CHECK(response.m_status == 400);
        }
    });
}
