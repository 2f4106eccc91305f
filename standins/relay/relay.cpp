#include "standins/relay/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>

#include <memory>
#include <vector>

namespace chervilmount::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t BlockBytes = 65536;
constexpr std::chrono::milliseconds CutPollPeriod{50};

using SharedSocket = std::shared_ptr<asio::ip::tcp::socket>;

asio::awaitable<void> waitWhileCut(const RelayFaults &faults)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (faults.m_cut) {
        timer.expires_after(CutPollPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> forward(SharedSocket from, SharedSocket to, const RelayFaults &faults)
{
    std::vector<char> block(BlockBytes);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    boost::system::error_code ignored;
    try {
        for (;;) {
            const std::size_t size =
                    co_await from->async_read_some(asio::buffer(block), asio::use_awaitable);
            if (faults.m_delay.count() > 0) {
                timer.expires_after(faults.m_delay);
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (faults.m_cut) {
                // The bytes are lost, so the connection cannot go on after the cut.
                co_await waitWhileCut(faults);
                break;
            }
            co_await asio::async_write(*to, asio::buffer(block.data(), size), asio::use_awaitable);
        }
    } catch (const boost::system::system_error &) {
        // One side closed the connection; the other side is closed below.
    }
    from->close(ignored);
    to->close(ignored);
}

asio::awaitable<void> relayConnection(SharedSocket client, asio::ip::tcp::endpoint target,
                                      const RelayFaults &faults)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    try {
        co_await waitWhileCut(faults);
        const SharedSocket server = std::make_shared<asio::ip::tcp::socket>(executor);
        co_await server->async_connect(target, asio::use_awaitable);
        server->set_option(asio::ip::tcp::no_delay(true));
        client->set_option(asio::ip::tcp::no_delay(true));
        asio::co_spawn(executor, forward(client, server, faults), asio::detached);
        asio::co_spawn(executor, forward(server, client, faults), asio::detached);
    } catch (const boost::system::system_error &) {
        boost::system::error_code ignored;
        client->close(ignored);
    }
}

} // namespace

asio::awaitable<void> relayConnections(asio::ip::tcp::endpoint listen,
                                       asio::ip::tcp::endpoint target, const RelayFaults &faults)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::ip::tcp::acceptor acceptor(executor, listen);
    for (;;) {
        const SharedSocket client = std::make_shared<asio::ip::tcp::socket>(
                co_await acceptor.async_accept(asio::use_awaitable));
        asio::co_spawn(executor, relayConnection(client, target, faults), asio::detached);
    }
}

asio::awaitable<HttpResponse> handleRelayControl(RelayFaults &faults, HttpRequest request)
{
    const json::value changes = json::parse(request.body());
    for (const json::key_value_pair &field : changes.as_object()) {
        if (field.key() == "cut")
            faults.m_cut = field.value().as_bool();
        else if (field.key() == "delayMilliseconds")
            faults.m_delay = std::chrono::milliseconds(field.value().to_number<std::int64_t>());
    }
    co_return jsonResponse(boost::beast::http::status::ok, "{}");
}

} // namespace chervilmount::standins
