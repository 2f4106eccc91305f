#pragma once

#include "relay/control/activepolicy.h"
#include "relay/control/backendtracker.h"
#include "relay/control/loadexchange.h"
#include "relay/control/noderegistry.h"
#include "relay/entry/entryhandler.h"
#include "relay/http/httpserver.h"
#include "relay/runtime/relaysettings.h"
#include "relay/store/sharedstore.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** Parsers that the platform's adapter supplies. */
struct PlatformParsers
{
    PolicyParser m_policy;
    AnnouncementParser m_announcement;
};

/** A node: connects its components and controls its start and graceful shutdown. */
class RelayNode
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /**
     * Listens on all addresses and starts to follow the policy and the table of nodes.
     * @param startedAt wall-clock time of the start; must be later than that of an earlier start of
     *        the same node.
     * @param seed seed of the random number generator.
     * @throws std::invalid_argument, boost::system::system_error if an address cannot be used.
     */
    RelayNode(boost::asio::io_context &context, RelaySettings settings, SharedStore &store,
              PlatformParsers parsers, std::chrono::milliseconds startedAt, std::uint64_t seed);

    /** Starts a graceful shutdown: stops accepting new work in phases, drains the running requests,
     * then calls m_onStopped. */
    void stop();

    /** Closes everything at once without responses, like a crash. The object must outlive the
     * pending completion handlers. */
    void abort();

    /** @returns the number of linked nodes. */
    std::size_t linkedPeers() const { return m_mesh.linkedPeers(); }

    /** @returns the version of the policy in force; 0 before the first one. */
    std::uint64_t policyVersion() const { return m_policy.version(); }

    /** @returns whether callers should send requests to this node. */
    bool isReady() const;

    /** @returns the bytes of request and response bodies that the node holds in memory. */
    std::size_t bodyBytes() const { return m_bodies->m_used; }

    /** @returns the metrics in the text exposition format. */
    std::string metrics() const;

    /** Called when the shutdown is complete. */
    std::function<void()> m_onStopped;

private:
    MeshHandlers meshHandlers();
    void handleReadiness(const std::shared_ptr<ServerExchange> &exchange,
                         const HttpRequest &request);
    void handleMetrics(const std::shared_ptr<ServerExchange> &exchange, const HttpRequest &request);
    void policyChanged();
    void storeEraRead(traffic::EraReading reading);
    void handlePeerPolicyVersion(const std::string &node, std::uint64_t version);
    void backendChanged();
    /** Stores the departures of local backend servers, and sends them to the other nodes. */
    void keepDepartures();
    bool areDeparturesKept(TimePoint since, TimePoint now) const;
    /** Sends the local backend server a status check if it needs one and all departures that
     * earlier processes were told of are known as far as possible. */
    void checkBackendServer(TimePoint now);
    void tick();
    void advanceShutdown(TimePoint now);
    /** Sends final responses to all pending requests before the process exits. */
    void abortRequests();
    void logReadiness(TimePoint now);
    void logShedding(TimePoint now);
    /** Logs when the local backend server has turned slow, and when its pace is usual again. */
    void logPace();
    /** Decides among whom the rates are divided and how far this node takes part. */
    void updateRateSharers(TimePoint now);
    /** Takes over from an earlier process of this node whether it was established. */
    void readEstablished(const NodeRow &row);
    /** Counts a node that has become known or has opened a link. */
    void countNode(const NodeRecord &record);
    /** @returns the nodes that this node counts, for one that the store does not answer. */
    NodeList listNodes() const;
    void adoptNodes(const NodeList &list);
    void logRateSharers();
    void updateFollowing(TimePoint now);
    void requestPolicy(const std::string &node, std::uint64_t version);
    bool isInRegion(const std::string &node) const;
    void recordProfile(TimePoint now);
    void logState(const std::string &event, std::vector<adapters::LogField> fields);

    RelaySettings m_settings;
    SharedStore &m_store;
    std::mt19937_64 m_random;
    TimerQueue m_timers;
    Counters m_counters;
    BoundedLog m_log;
    std::shared_ptr<BodyBudget> m_bodies;
    ActivePolicy m_policy;
    LocalGate m_gate;
    BackendTracker m_backend;
    Mesh m_mesh;
    LoadExchange m_loads;
    NodeRegistry m_registry;
    traffic::RateView m_rateView;
    traffic::RateShares m_rates;
    traffic::RepeatBudget m_repeats;
    traffic::SplitStates m_splits;
    EntryServices m_entryServices;
    EntryHandler m_entry;
    /** Limits of the listeners for the platform: readiness, announcements and metrics. */
    traffic::CallerLimits m_platformLimits;
    /** Limits of the callers' listener, from the policy in force. */
    traffic::CallerLimits m_callerLimits;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_announcements;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::uint64_t m_requestedPolicy = 0;
    /** Version that will be requested from a peer unless the store's change feed delivers it first.
     */
    std::uint64_t m_scheduledPolicyRequest = 0;
    /** Time after which the requested policy may be requested again. */
    std::chrono::steady_clock::time_point m_policyRequestExpiry;
    bool m_followsPolicy = true;
    TimePoint m_startedAt;
    TimePoint m_linkedAt;
    TimePoint m_nextTimeoutCheck;
    TimePoint m_nextSheddingLog;
    TimePoint m_nextProfileRecord;
    /** Number of runs in the profile that was stored last. */
    double m_recordedRuns = 0.0;
    /** Fraction of its share and number of nodes when they were last logged. @{ */
    double m_loggedFraction = 0.0;
    std::size_t m_loggedSharers = 0;
    /** @} */
    bool m_wasReady = false;
    bool m_wasSlow = false;
    bool m_stopped = false;
};

} // namespace chervilmount::relay
