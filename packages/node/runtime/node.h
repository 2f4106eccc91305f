#pragma once

#include "adapters/http/httplistener.h"
#include "node/runtime/nodeparts.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace chervilmount::node {

/** One node: listeners, links to other nodes, calls and the control loops. */
class Node
{
public:
    /**
     * Binds all addresses and starts the control loops.
     * @param incarnation start time in milliseconds since the epoch.
     * @param seed seed of the random number generator.
     * @throws std::exception if an address cannot be bound.
     */
    Node(boost::asio::io_context &context, NodeSettings settings, std::uint64_t incarnation,
         std::uint64_t seed);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** Starts the graceful shutdown, which drains active requests; may be called several times. */
    void stop();

    /** @returns true when the graceful shutdown is complete. */
    bool isStopped() const { return m_stopped; }

    /** Called when the graceful shutdown is complete. */
    std::function<void()> m_onStopped;

    /** @returns the counters of the callers' listener. */
    const adapters::HttpListener::Counters &callerCounters() const { return m_callers->counters(); }

    NodeParts &parts() { return m_parts; }
    const NodeParts &parts() const { return m_parts; }

private:
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);
    void receiveSharedState(const messages::SharedStateMessage &message);
    adapters::Task<> pollConfiguration();
    adapters::Task<> watchMembers();
    void watchBackend(std::chrono::steady_clock::time_point now);
    adapters::Task<> drain();

    NodeParts m_parts;
    bool m_stopped = false;
    bool m_backendAnnounced = false;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    std::unique_ptr<adapters::HttpListener> m_callers;
    std::unique_ptr<adapters::HttpListener> m_local;
    std::unique_ptr<adapters::HttpListener> m_operators;
};

} // namespace chervilmount::node
