#include "platform/standin/fleet.h"

#include "adapters/logging/decisionlog.h"
#include "relay/http/socketoptions.h"

#include <algorithm>

using namespace chervilmount;
using namespace chervilmount::relay;

Fleet::Fleet()
    : m_store(m_context)
{
    adapters::configureLog("off", "");
}

FleetNode &Fleet::addNode(const std::string &name, const std::string &service,
                          const std::string &zone, const std::string &region)
{
    auto node = std::make_unique<FleetNode>();
    node->m_name = name;
    node->m_backend = std::make_unique<Backend>(m_context, "i-" + name, service);
    node->m_bornAt = ++m_lastStart;
    const std::string text = "self.node=" + name + "\nself.zone=" + zone + "\nself.region=" + region
            + "\nself.service=" + service + "\nself.ip=127.0.0.1\nself.app_addr="
            + node->m_backend->address() + "\nnetwork.listen.outbound=" + freeAddress(m_context)
            + "\nnetwork.listen.ready=" + freeAddress(m_context)
            + "\nnetwork.listen.control=" + freeAddress(m_context)
            + "\nnetwork.internal_ports=7000,7015\nplatform.platform.address="
            + m_store.addAddress() + "\n";
    node->m_settings = platform::parseBootSettings(text, name);
    // All nodes of the test share one machine, so each needs ports of its own.
    node->m_settings.m_relay.m_peerAddress = freeAddress(m_context);
    node->m_settings.m_relay.m_metricsAddress = freeAddress(m_context);
    m_nodes.push_back(std::move(node));
    restart(*m_nodes.back());
    return *m_nodes.back();
}

void Fleet::restart(FleetNode &node)
{
    node.m_stopped = false;
    node.m_store =
            std::make_unique<platform::StoreClient>(m_context, node.m_settings.m_store, ++m_seed);
    PlatformParsers parsers;
    parsers.m_policy = platform::parsePolicyDocument;
    parsers.m_announcement = [](const HttpRequest &request) {
        return platform::parseAnnouncement(request, "127.0.0.1");
    };
    node.m_node = std::make_unique<RelayNode>(m_context, node.m_settings.m_relay, *node.m_store,
                                              std::move(parsers),
                                              std::chrono::milliseconds(++m_lastStart), ++m_seed);
    node.m_node->m_onStopped = [&node] { node.m_stopped = true; };
}

void Fleet::kill(FleetNode &node)
{
    node.m_node->abort();
    // Pending completion handlers may still refer to the node, so they run before it is destroyed.
    runFor(std::chrono::milliseconds{5});
}

int Fleet::announce(FleetNode &node, const std::string &state)
{
    return tell(node, "PUT", node.m_backend->id(),
                node.m_backend->announcement(state, ++node.m_sequence, node.m_bornAt));
}

int Fleet::tell(FleetNode &node, const std::string &method, const std::string &id,
                const std::string &body)
{
    HttpRequest request;
    request.version(11);
    request.method_string(method);
    request.target("/instances/" + id);
    request.set(boost::beast::http::field::host, "node");
    request.body() = body;
    request.prepare_payload();
    return exchange(node.m_settings.m_relay.m_announcementAddress, std::move(request));
}

void Fleet::configure(int version, const std::string &routes, std::size_t bodyBytes)
{
    const std::string rows = routes.empty()
            ? R"(["slip-lookup","slips.example","/slips/","idempotent",1.2,1.0,2,null,2,false,"slipdesk"],
                 ["print-order","slips.example","/orders/","non_idempotent",1.2,1.0,0,null,2,false,"slipdesk"],
                 ["order-status","status.example","/status/","idempotent",1.0,1.0,2,null,2,true,"printhall"])"
            : routes;
    m_store.put("op", "config",
                R"({"version":"r)" + std::to_string(version)
                        + R"(","routes":{"columns":["name","host","prefix","kind","timeout_s",
                          "target_latency_s","priority","traffic_split","max_attempts",
                          "auth_exempt","service"],"rows":[)"
                        + rows
                        + R"(]},"services":{"columns":["name","health_path","max_connections"],
                          "rows":[["slipdesk","/health",100],["printhall","/health",100]]},
                          "limits":{"max_header_bytes":4096,"max_body_bytes":)"
                        + std::to_string(bodyBytes) + R"(,
                          "header_timeout_s":1,"idle_timeout_s":5},
                          "tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],
                          "rows":[["large",["key-large"],null,0,0],
                          ["small",["key-small"],null,5,5]]}})");
}

bool Fleet::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds{2});
    }
    return true;
}

void Fleet::runFor(std::chrono::milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

bool Fleet::settle(std::chrono::milliseconds limit)
{
    return runUntil(
            [this] {
                for (const std::unique_ptr<FleetNode> &node : m_nodes) {
                    if (!node->m_node->isReady()
                        || node->m_node->linkedPeers() + 1 != m_nodes.size())
                        return false;
                }
                return true;
            },
            limit);
}

bool Fleet::haveVersion(std::uint64_t version) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [version](const std::unique_ptr<FleetNode> &node) {
                           return node->m_node->policyVersion() == version;
                       });
}

bool Fleet::areRowsStored() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [this](const std::unique_ptr<FleetNode> &node) {
                           return !m_store.value(NodeTable, node->m_name).empty();
                       });
}

bool Fleet::startTwo()
{
    addNode("n1", "slipdesk");
    addNode("n2", "slipdesk");
    configure(1);
    const bool configured = runUntil([this] {
        return m_nodes[0]->m_node->policyVersion() == 1 && m_nodes[1]->m_node->policyVersion() == 1;
    });
    announce(*m_nodes[0]);
    announce(*m_nodes[1]);
    return configured && settle();
}

CallerResponse Fleet::request(FleetNode &node, const CallerRequest &request,
                              const std::string &attempt)
{
    std::optional<CallerResponse> response;
    const auto connection = send(node, request, attempt, response);
    runUntil([&response] { return response.has_value(); }, std::chrono::seconds{10});
    connection->close();
    return response.value_or(CallerResponse{});
}

std::shared_ptr<HttpClientConnection> Fleet::send(FleetNode &node, const CallerRequest &request,
                                                  const std::string &attempt,
                                                  std::optional<CallerResponse> &response)
{
    auto connection = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
    connection->connect(parseEndpoint(node.m_settings.m_relay.m_callerAddress),
                        [this, connection, request, attempt, &response](bool connected) {
                            if (connected)
                                sendOn(*connection, request, attempt, response);
                            else
                                response.emplace();
                        });
    return connection;
}

std::shared_ptr<HttpClientConnection> Fleet::connect(FleetNode &node)
{
    auto connection = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
    bool ended = false;
    connection->connect(parseEndpoint(node.m_settings.m_relay.m_callerAddress),
                        [&ended](bool /*connected*/) { ended = true; });
    runUntil([&ended] { return ended; });
    return connection;
}

void Fleet::sendOn(HttpClientConnection &connection, const CallerRequest &request,
                   const std::string &attempt, std::optional<CallerResponse> &response)
{
    connection.exchange(makeRequest(request, attempt), {},
                        [&response](const ExchangeResult &result) {
                            response.emplace();
                            if (result.m_status != ExchangeStatus::Answered)
                                return;
                            const HttpResponse &answer = result.m_response;
                            response->m_status = static_cast<int>(answer.result_int());
                            response->m_body = answer.body();
                            response->m_seal = fieldValue(answer, "X-Chervilmount-Server-Seal");
                            response->m_attempt = fieldValue(answer, "X-Chervilmount-Attempt-Id");
                            response->m_retryAfter = fieldValue(answer, "Retry-After");
                        });
}

int Fleet::readiness(FleetNode &node)
{
    HttpRequest request;
    request.version(11);
    request.method(boost::beast::http::verb::get);
    request.target("/readiness");
    request.set(boost::beast::http::field::host, "node");
    return exchange(node.m_settings.m_relay.m_readinessAddress, std::move(request));
}

HttpRequest Fleet::makeRequest(const CallerRequest &request, const std::string &attempt) const
{
    HttpRequest result;
    result.version(11);
    result.method_string(request.m_method);
    result.target(request.m_target);
    result.set(boost::beast::http::field::host, request.m_host);
    result.set("X-Chervilmount-Attempt-Id", attempt);
    result.set("X-Chervilmount-Deadline-Ms", std::to_string(request.m_deadline.count()));
    if (!request.m_key.empty())
        result.set("X-Chervilmount-Key", request.m_key);
    // Fields that only the node may set; it has to discard the caller's values.
    result.set("X-Chervilmount-Tenant", "forged");
    result.set("X-Chervilmount-Caller-Service", "forged");
    result.body() = request.m_body;
    result.prepare_payload();
    return result;
}

int Fleet::exchange(const std::string &address, HttpRequest request)
{
    std::optional<int> status;
    auto connection = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
    connection->connect(parseEndpoint(address), [&status, connection, &request](bool connected) {
        if (!connected) {
            status = 0;
            return;
        }
        connection->exchange(std::move(request), {}, [&status](const ExchangeResult &result) {
            status = result.m_status == ExchangeStatus::Answered
                    ? static_cast<int>(result.m_response.result_int())
                    : 0;
        });
    });
    runUntil([&status] { return status.has_value(); });
    connection->close();
    return status.value_or(0);
}
