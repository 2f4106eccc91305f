#pragma once

#include "node/node.h"
#include "node/support/client.h"
#include "node/support/fakebackend.h"
#include "node/support/fakeplatform.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/** Several nodes and a platform on one I/O context, connected over loopback. */
class Fleet
{
public:
    /**
     * @param nodes number of nodes.
     * @param adjust changes the settings of a node before it starts.
     */
    explicit Fleet(std::size_t nodes,
                   const std::function<void(std::size_t, chervilmount::node::NodeSettings &)>
                           &adjust = {});
    ~Fleet();

    /** Runs a test coroutine to completion; fails the test if it throws or takes more than 30 s. */
    void run(const std::function<chervilmount::adapters::Task<>()> &body);

    /** Publishes a configuration through the first node and waits until all nodes have it. */
    chervilmount::adapters::Task<bool> publish(std::string text, std::uint64_t expectedVersion = 0);

    /** Waits until a condition holds. @returns false after 10 s. */
    chervilmount::adapters::Task<bool> waitUntil(std::function<bool()> condition);

    /** Waits until the node knows this many serving members of a service, itself included. */
    chervilmount::adapters::Task<bool> waitUntilServing(std::size_t node, std::string service,
                                                        std::size_t count);

    boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    std::size_t size() const { return m_nodes.size(); }
    FakePlatform &platform() { return *m_platform; }
    chervilmount::node::Node &node(std::size_t index) { return *m_nodes[index]; }
    const chervilmount::node::NodeSettings &settings(std::size_t index) const
    {
        return m_nodes[index]->parts().m_settings;
    }

private:
    boost::asio::io_context m_context;
    std::unique_ptr<FakePlatform> m_platform;
    std::vector<std::unique_ptr<chervilmount::node::Node>> m_nodes;
};

/**
 * Announces the backend server at a node, publishes the sample configuration and waits until the
 * first node can send requests to it; fails the test otherwise.
 */
chervilmount::adapters::Task<> prepareServing(Fleet &fleet, FakeBackend &backend, std::size_t node,
                                              std::string service);

/** @returns an unused "127.0.0.1:port". */
std::string freeAddress();

/**
 * A configuration with the keyed route "/slips" to slipdesk for the organisation "addis" (key
 * "secret-addis"), the open route "/open" to slipdesk, the keyed route "/staff" to staffrolls, and
 * the once-only route "/print" to printhall.
 */
std::string sampleConfiguration();

/** Digest key of the deployment in all tests. */
constexpr const char *TestDigestKey = "digest-key-of-the-tests-32-bytes-long";
