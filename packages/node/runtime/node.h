#pragma once

#include "adapters/http/httplistener.h"
#include "adapters/peerlink/peertransport.h"
#include "adapters/platform/platformclient.h"
#include "node/calls/outgoingcalls.h"
#include "node/control/configurationstate.h"
#include "node/control/configurationstore.h"
#include "node/control/members.h"
#include "node/entry/callerrequests.h"
#include "node/entry/callrunner.h"
#include "node/inbound/backendserver.h"
#include "node/inbound/incomingcalls.h"
#include "node/settings/nodesettings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace chervilmount::node {

/** One node: listeners, links to other nodes, calls and the control loops. */
class Node
{
public:
    /**
     * Binds all addresses and starts the control loops.
     * @param incarnation start time in milliseconds since the epoch.
     * @param seed of the random choices.
     * @throws std::exception if an address cannot be bound.
     */
    Node(boost::asio::io_context &context, NodeSettings settings, std::uint64_t incarnation,
         std::uint64_t seed);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts the graceful shutdown; the I/O context runs out of work when it is complete. */
    void stop();

    const NodeSettings &settings() const { return m_settings; }
    const ConfigurationState &configuration() const { return m_configuration; }
    ConfigurationStore &configurationStore() { return m_configurationStore; }
    const Members &members() const { return m_members; }
    const IncomingCalls &incoming() const { return m_incoming; }
    const OutgoingCalls &outgoing() const { return m_outgoing; }
    bool isLeaving() const { return m_leaving; }

private:
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);
    std::optional<std::string> chooseNode(const CallPlan &plan,
                                          const std::set<std::string> &excluded);
    adapters::Task<> handleCaller(adapters::HttpExchange &exchange);
    adapters::Task<> handleLocal(adapters::HttpExchange &exchange);
    adapters::Task<> handleNested(adapters::HttpExchange &exchange);
    adapters::Task<> handleAnnounce(adapters::HttpExchange &exchange);
    adapters::Task<> pollConfiguration();
    adapters::Task<> sendHeartbeats();
    adapters::Task<> drain();

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    std::mt19937_64 m_random;
    bool m_leaving = false;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    ConfigurationState m_configuration;
    adapters::PlatformClient m_platform;
    ConfigurationStore m_configurationStore;
    Members m_members;
    BackendServer m_backend;
    IncomingCalls m_incoming;
    OutgoingCalls m_outgoing;
    CallRunner m_runner;
    std::unique_ptr<adapters::PeerTransport> m_transport;
    std::unique_ptr<adapters::HttpListener> m_callers;
    std::unique_ptr<adapters::HttpListener> m_local;
    std::unique_ptr<adapters::HttpListener> m_operators;
};

} // namespace chervilmount::node
