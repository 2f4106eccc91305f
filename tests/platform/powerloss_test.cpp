#include "platform/standin/fleet.h"
#include "relay/http/socketoptions.h"

#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <list>
#include <string>

using namespace std::chrono_literals;

namespace {

/** An address at which attempts to connect get no reply, like one of a machine without power: the
 * queue of new connections is kept full, so that the kernel drops further ones. */
class SilentAddress
{
public:
    SilentAddress(boost::asio::io_context &context, const std::string &address)
        : m_acceptor(context)
    {
        const boost::asio::ip::tcp::endpoint endpoint = chervilmount::relay::parseEndpoint(address);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(0);
        constexpr int EnoughToFillQueue = 4;
        for (int index = 0; index < EnoughToFillQueue; ++index)
            m_fillers.emplace_back(context).async_connect(endpoint,
                                                          [](boost::system::error_code) {});
    }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<boost::asio::ip::tcp::socket> m_fillers;
};

} // namespace

// Guards against a node that starts a moment before another one, dials it while its machine has no
// power, and takes seconds to dial it again: its calls found no backend server until then.
TEST_CASE("A node that starts after another one has dialled it in vain is linked within a second")
{
    Fleet fleet;
    FleetNode &early = fleet.addNode("n0", "slipdesk");
    FleetNode &late = fleet.addNode("n1", "printhall");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.runFor(300ms);
    fleet.kill(early);
    fleet.kill(late);
    {
        const SilentAddress silent(fleet.m_context, late.m_settings.m_relay.m_peerAddress);
        fleet.runFor(50ms);
        fleet.restart(early);
        fleet.runFor(300ms);
        REQUIRE(early.m_node->linkedPeers() == 0);
    }
    fleet.restart(late);
    CHECK(fleet.runUntil([&early] { return early.m_node->linkedPeers() == 1; }, 1s));
}

// Guards against callers that return to a node which has just started and are refused: after all
// nodes were killed, that used up the one retry of most of them.
TEST_CASE("Requests that arrive while a node starts are served once it knows the policy")
{
    Fleet fleet;
    FleetNode &node = fleet.addNode("n0", "slipdesk");
    FleetNode &other = fleet.addNode("n1", "slipdesk");
    fleet.configure(1);
    REQUIRE(fleet.settle());
    fleet.announce(node);
    fleet.runFor(300ms);
    fleet.kill(node);
    fleet.kill(other);
    fleet.m_store.m_faults.m_delay = 40ms;
    fleet.restart(node);
    fleet.restart(other);
    fleet.announce(node);
    const std::string key = GENERATE(as<std::string>(), "key-large", "key-small");
    CAPTURE(key);
    CallerRequest request;
    request.m_key = key;
    const CallerResponse response = fleet.request(node, request, "a1");
    // The organisation with a rate starts without tokens; its refusal tells when to come back.
    CHECK((response.m_status == 200 || response.m_status == 429));
    CHECK((key != "key-large" || response.m_status == 200));
}

// Guards against refusals that come late: a node that cannot reach the store has nothing to wait
// for after its start.
TEST_CASE("A node without a policy refuses at once when its start has failed")
{
    Fleet fleet;
    fleet.m_store.m_faults.m_status = 503;
    FleetNode &node = fleet.addNode("n0", "slipdesk");
    fleet.runFor(1100ms);
    std::optional<CallerResponse> response;
    const std::shared_ptr<chervilmount::relay::HttpClientConnection> connection =
            fleet.send(node, {}, "a1", response);
    CHECK(fleet.runUntil([&response] { return response.has_value(); }, 150ms));
    CHECK(response.value_or(CallerResponse{}).m_status == 503);
    connection->close();
}
