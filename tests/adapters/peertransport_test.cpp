#include "adapters/adapters.h"
#include "messages/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

using namespace chervilmount;

namespace {

std::string freeAddress()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** A transport that records what it receives and echoes each CallBody to its sender. */
struct Peer
{
    Peer(boost::asio::io_context &context, const adapters::MeshKeys &keys)
        : m_address(freeAddress())
    {
        adapters::PeerTransportSettings settings;
        settings.m_bindAddress = m_address;
        settings.m_ownAddress = m_address;
        settings.m_keys = keys;
        settings.m_connectTimeout = std::chrono::milliseconds(300);
        m_transport = std::make_unique<adapters::PeerTransport>(
                context.get_executor(), settings,
                [this](const adapters::PeerHandle &from, messages::Frame &&frame) {
                    if (from.m_inbound)
                        m_transport->send(from, frame);
                    m_received.push_back(std::move(frame));
                },
                [this](const adapters::PeerHandle &, messages::Frame &&) { ++m_undelivered; });
    }

    std::string m_address;
    std::vector<messages::Frame> m_received;
    int m_undelivered = 0;
    std::unique_ptr<adapters::PeerTransport> m_transport;
};

template<typename Condition>
bool runUntil(boost::asio::io_context &context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace

// Guards against lost edges of ZMQ_FD: frames that stay unread until another event arrives.
TEST_CASE("Many frames to a peer and back all arrive in order")
{
    boost::asio::io_context context;
    const adapters::MeshKeys keys = adapters::generateMeshKeys();
    Peer left(context, keys);
    Peer right(context, keys);
    constexpr std::size_t Count = 3000;
    for (std::size_t index = 0; index < Count; ++index) {
        messages::CallBody body;
        body.m_key.m_call = index;
        body.m_data = std::string(200, 'x');
        REQUIRE(left.m_transport->send({false, right.m_address}, body));
    }
    REQUIRE(runUntil(context, [&] { return left.m_received.size() == Count; }));
    for (std::size_t index = 0; index < Count; ++index)
        CHECK(std::get<messages::CallBody>(left.m_received[index]).m_key.m_call == index);
}

// Guards against accepting frames from a peer whose public key is not an accepted one.
TEST_CASE("A peer with an unknown key is rejected at the handshake")
{
    boost::asio::io_context context;
    const adapters::MeshKeys keys = adapters::generateMeshKeys();
    adapters::MeshKeys unacceptedKeys = adapters::generateMeshKeys();
    unacceptedKeys.m_serverKey = keys.m_publicKey;
    Peer node(context, keys);
    Peer unauthorisedPeer(context, unacceptedKeys);
    unauthorisedPeer.m_transport->send({false, node.m_address}, messages::CallCancel{});
    REQUIRE(runUntil(context, [&] { return node.m_transport->rejectedHandshakes() > 0; }));
    REQUIRE(runUntil(context, [&] { return unauthorisedPeer.m_undelivered == 1; }));
    CHECK(node.m_received.empty());
}

// Guards against calls that wait until their deadline because an unreachable peer is not reported.
TEST_CASE("Frames to an unreachable peer are discarded and reported")
{
    boost::asio::io_context context;
    Peer node(context, adapters::generateMeshKeys());
    const std::string unreachableAddress = freeAddress();
    REQUIRE(node.m_transport->send({false, unreachableAddress}, messages::CallCancel{}));
    REQUIRE(runUntil(context, [&] { return node.m_undelivered == 1; }));
    CHECK(node.m_transport->counters().m_sent == 0);
}

// Guards against a node that cannot call its own backend server.
TEST_CASE("Frames to the own address are delivered without a socket")
{
    boost::asio::io_context context;
    Peer node(context, adapters::generateMeshKeys());
    messages::CallBody body;
    body.m_data = "abc";
    REQUIRE(node.m_transport->send({false, node.m_address}, body));
    REQUIRE(runUntil(context, [&] { return node.m_received.size() == 2; }));
    CHECK(node.m_transport->counters().m_sent == 0);
}
