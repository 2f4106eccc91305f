#pragma once

#include "platform/platform.h"
#include "platform/standin/backend.h"
#include "platform/standin/rowstore.h"
#include "relay/relay.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** A response to a request of the fleet's caller; status 0 if there was none. */
struct CallerResponse
{
    int m_status = 0;
    std::string m_body;
    std::string m_seal;
    std::string m_attempt;
    std::string m_retryAfter;
};

/** A request of a caller. */
struct CallerRequest
{
    std::string m_method = "GET";
    std::string m_host = "slips.example";
    std::string m_target = "/slips/1";
    std::string m_key = "key-large";
    std::chrono::milliseconds m_deadline{3000};
    std::string m_body;
};

/** One node of the fleet with its local backend server. */
struct FleetNode
{
    std::string m_name;
    chervilmount::platform::BootSettings m_settings;
    std::unique_ptr<Backend> m_backend;
    std::unique_ptr<chervilmount::platform::StoreClient> m_store;
    std::unique_ptr<chervilmount::relay::RelayNode> m_node;
    std::int64_t m_bornAt = 0;
    int m_sequence = 0;
    bool m_stopped = false;
};

/** Nodes, backend servers and the store in one process, on loopback addresses. */
class Fleet
{
public:
    Fleet();

    /** Adds a backend server with its node and starts both. */
    FleetNode &addNode(const std::string &name, const std::string &service,
                       const std::string &zone = "zone-a", const std::string &region = "region-a");

    /** Restarts a killed node. */
    void restart(FleetNode &node);

    /** Ends the node at once, like a crash. */
    void kill(FleetNode &node);

    /** Announces a backend server to its node. @returns the status of the response. */
    int announce(FleetNode &node, const std::string &state = "ready");

    /** Sends a message to a node's announcement listener. @returns the status of the response. */
    int tell(FleetNode &node, const std::string &method, const std::string &id,
             const std::string &body);

    /** Writes a version of the operators' configuration to the store.
     * @param bodyBytes longest request body of callers. */
    void configure(int version, const std::string &routes = "", std::size_t bodyBytes = 100000);

    /** Runs the event loop until the condition holds. @returns whether it did in time. */
    bool runUntil(const std::function<bool()> &condition,
                  std::chrono::milliseconds limit = std::chrono::seconds{5});
    void runFor(std::chrono::milliseconds duration);

    /** Waits until every node is ready and linked to all others. */
    bool settle(std::chrono::milliseconds limit = std::chrono::seconds{5});

    /** @returns whether this version of the configuration is in force at all nodes. */
    bool haveVersion(std::uint64_t version) const;

    /** @returns whether the store holds the rows of all nodes. */
    bool areRowsStored() const;

    /** Starts two nodes with backend servers of the callers' service. @returns whether they are
     * ready. */
    bool startTwo();

    /** Sends a request to a node and waits for its response. */
    CallerResponse request(FleetNode &node, const CallerRequest &request,
                           const std::string &attempt);

    /** Sends a request; the response is stored when it arrives.
     * @returns the connection; closing it simulates a caller that disconnects. */
    std::shared_ptr<chervilmount::relay::HttpClientConnection>
    send(FleetNode &node, const CallerRequest &request, const std::string &attempt,
         std::optional<CallerResponse> &response);

    /** Opens a keep-alive connection of a caller. */
    std::shared_ptr<chervilmount::relay::HttpClientConnection> connect(FleetNode &node);

    /** Sends a request on a connection; the response is stored when it arrives. */
    void sendOn(chervilmount::relay::HttpClientConnection &connection, const CallerRequest &request,
                const std::string &attempt, std::optional<CallerResponse> &response);

    int readiness(FleetNode &node);

    boost::asio::io_context m_context;
    RowStore m_store;
    std::vector<std::unique_ptr<FleetNode>> m_nodes;

    /** Name of the route of callers' requests. */
    static constexpr const char *Route = "slip-lookup";

private:
    chervilmount::relay::HttpRequest makeRequest(const CallerRequest &request,
                                                 const std::string &attempt) const;
    int exchange(const std::string &address, chervilmount::relay::HttpRequest request);

    std::uint64_t m_seed = 1;
    std::int64_t m_lastStart = 1000;
};
