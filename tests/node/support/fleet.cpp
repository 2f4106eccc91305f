#include "node/support/fleet.h"

#include "model/digest/keydigester.h"
#include "model/digest/sha256.h"

#include "adapters/logging/decisionlog.h"
#include "support/freeaddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <catch2/catch.hpp>

#include <exception>
#include <optional>

using namespace chervilmount;

std::string freeAddress()
{
    boost::asio::io_context context;
    return freeAddress(context);
}

std::string sampleConfiguration()
{
    namespace json = boost::json;
    const json::object common{{"priority", "normal"}, {"extraAttempts", 2}};
    const auto route = [&common](const char *name, const char *service, const char *prefix,
                                 bool open, const char *execution) {
        json::object object = common;
        object["name"] = name;
        object["service"] = service;
        object["pathPrefix"] = prefix;
        object["open"] = open;
        object["execution"] = execution;
        object["timeoutMilliseconds"] = 2000;
        return object;
    };
    json::object print = route("print", "printhall", "/print", false, "onceOnly");
    print["extraAttempts"] = 0;
    const json::object set{
            {"failureDomains", {{{"name", "a1"}, {"region", "addis"}}}},
            {"priorities", {{{"name", "normal"}, {"level", 3}}}},
            {"services",
             {{{"name", "slipdesk"}, {"calls", {"staffrolls"}}},
              {{"name", "staffrolls"}, {"calls", json::array()}},
              {{"name", "printhall"}, {"calls", json::array()}}}},
            {"routes",
             {route("slips", "slipdesk", "/slips", false, "idempotent"),
              route("open", "slipdesk", "/open", true, "idempotent"),
              route("staff", "staffrolls", "/staff", false, "idempotent"), print}},
            {"organisations", {{{"name", "addis"}, {"rate", 100000}, {"burst", 100000}}}},
            {"keys",
             {{{"name", "addis-1"},
               {"organisation", "addis"},
               {"digest",
                model::toHex(model::KeyDigester(TestDigestKey).digest("secret-addis"))}}}}};
    return json::serialize(set);
}

Fleet::Fleet(std::size_t nodes,
             const std::function<void(std::size_t, node::NodeSettings &)> &adjust)
    : m_platform(std::make_unique<FakePlatform>(m_context.get_executor()))
{
    adapters::configureLog("off", "");
    const adapters::MeshKeys keys = adapters::generateMeshKeys();
    std::vector<node::NodeSettings> all(nodes);
    std::vector<std::string> peers;
    for (node::NodeSettings &settings : all) {
        settings.m_failureDomain = "a1";
        settings.m_callerAddress = freeAddress();
        settings.m_localAddress = freeAddress();
        settings.m_operatorAddress = freeAddress();
        settings.m_peerAddress = freeAddress();
        settings.m_advertisedAddress = settings.m_peerAddress;
        settings.m_platform.m_tableAddress = m_platform->address();
        settings.m_platform.m_objectAddress = m_platform->address();
        settings.m_meshKeys = keys;
        settings.m_digestKey = TestDigestKey;
        settings.m_heartbeatInterval = std::chrono::milliseconds(50);
        settings.m_configurationPollInterval = std::chrono::milliseconds(50);
        settings.m_logLevel = "off";
        peers.push_back(settings.m_peerAddress);
    }
    for (std::size_t index = 0; index < nodes; ++index) {
        all[index].m_peers = peers;
        if (adjust)
            adjust(index, all[index]);
        m_nodes.push_back(std::make_unique<node::Node>(m_context, all[index], 1000 + index, index));
    }
}

Fleet::~Fleet() = default;

void Fleet::run(const std::function<adapters::Task<>()> &body)
{
    bool done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(m_context, body(), [&](std::exception_ptr thrown) {
        done = true;
        failure = std::move(thrown);
        m_context.stop();
    });
    m_context.restart();
    m_context.run_for(std::chrono::seconds(30));
    if (failure)
        std::rethrow_exception(failure);
    REQUIRE(done);
}

adapters::Task<bool> Fleet::waitUntil(std::function<bool()> condition)
{
    constexpr int Rounds = 2000;
    for (int round = 0; round < Rounds; ++round) {
        if (condition())
            co_return true;
        co_await adapters::sleepFor(std::chrono::milliseconds(5));
    }
    co_return false;
}

adapters::Task<bool> Fleet::publish(std::string text, std::uint64_t expectedVersion)
{
    TestRequest request;
    request.m_method = "POST";
    request.m_target =
            "/operators/configuration?expectedVersion=" + std::to_string(expectedVersion);
    request.m_body = std::move(text);
    const TestResponse response = co_await sendRequest(settings(0).m_operatorAddress, request);
    if (response.m_status != 200) {
        WARN("publication failed: " << response.m_status << " " << response.m_body);
        co_return false;
    }
    // A named variable, because g++ 12 destroys temporary closures in co_await expressions twice.
    const std::function<bool()> everywhere = [this, expectedVersion] {
        for (const auto &node : m_nodes) {
            const auto &current = node->parts().m_configuration.current();
            if (!current || current->version() <= expectedVersion)
                return false;
        }
        return true;
    };
    co_return co_await waitUntil(everywhere);
}

adapters::Task<bool> Fleet::waitUntilServing(std::size_t node, std::string service,
                                             std::size_t count)
{
    const std::function<bool()> known = [this, node, service, count] {
        return m_nodes[node]->parts().membersOf(service).size() == count;
    };
    const bool serving = co_await waitUntil(known);
    if (!serving || !m_nodes[node]->parts().m_configuration.current())
        co_return serving;
    // Keyed requests are admitted only after a node has acquired a rate group of the organisation.
    const std::function<bool()> granting = [this] {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        for (const auto &each : m_nodes) {
            if (each->parts().m_rates.canGrantLocally("addis", now))
                return true;
        }
        return false;
    };
    co_return co_await waitUntil(granting);
}

adapters::Task<> prepareServing(Fleet &fleet, FakeBackend &backend, std::size_t node,
                                std::string service)
{
    const int announced = co_await backend.announce(fleet.settings(node).m_localAddress, service);
    REQUIRE(announced == 200);
    const bool published = co_await fleet.publish(sampleConfiguration());
    REQUIRE(published);
    const bool serving = co_await fleet.waitUntilServing(0, service, 1);
    REQUIRE(serving);
}
