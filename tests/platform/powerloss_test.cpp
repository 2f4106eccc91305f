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
