#include "relay/runtime/relaynode.h"

#include "traffic/follow/policyfollower.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds TickInterval{100};
constexpr Milliseconds TimeoutCheckInterval{500};
constexpr Milliseconds SheddingLogInterval{1000};
/** The profile is stored once this many runs have been observed, and at this interval afterwards.
 * @{ */
constexpr double FirstRecordedRuns = 60.0;
constexpr std::chrono::seconds ProfileRecordInterval{30};
/** @} */
/** Time in which the store's change feed normally delivers a version that a peer already has. */
constexpr Milliseconds PolicyFromPeerDelay{300};
/** Time in which the other nodes connect to a restarted node. */
constexpr Milliseconds PeerLinkTimeout{1500};
/** Time for the store to write a departure before copies at other nodes are enough. While the store
 * works, a departure outlives even the loss of all nodes. */
constexpr Milliseconds StoreWriteTime{400};
/** Other nodes that have to hold a departure which the store has not written. */
constexpr std::size_t DepartureCopies = 2;
/** A node without any link for this long reports that it is not ready. */
constexpr Milliseconds IsolationTimeout{1500};
/** Nodes that are listed for one that the store does not answer. */
constexpr std::size_t MaximumListedNodes = 1000;
constexpr Milliseconds AnnouncementIdleTimeout{60000};

NodeRecord ownRecord(const RelaySettings &settings, Milliseconds startedAt)
{
    NodeRecord record;
    record.m_node = settings.m_node;
    record.m_address = settings.m_peerAddress;
    record.m_failureDomain = settings.m_failureDomain;
    record.m_region = settings.m_region;
    record.m_startedAt = startedAt;
    record.m_service = settings.m_service;
    return record;
}

traffic::CallerLimits platformLimits()
{
    traffic::CallerLimits limits;
    limits.m_bodyBytes = 64UL * 1024;
    limits.m_idleTimeout = AnnouncementIdleTimeout;
    return limits;
}

} // namespace

RelayNode::RelayNode(boost::asio::io_context &context, RelaySettings settings, SharedStore &store,
                     PlatformParsers parsers, std::chrono::milliseconds startedAt,
                     std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_store(store)
    , m_random(seed)
    , m_timers(context)
    , m_log(m_counters.m_logLinesSuppressed)
    , m_bodies(std::make_shared<BodyBudget>(BodyBudget{m_settings.m_bodyBytes, 0}))
    , m_policy(std::move(parsers.m_policy), m_log)
    , m_gate(context, m_timers, m_settings, m_counters, m_log, m_bodies)
    , m_backend(std::move(parsers.m_announcement), m_gate, m_log)
    , m_mesh(context, m_timers, ownRecord(m_settings, startedAt), m_settings.m_peerListenAddress,
             meshHandlers())
    , m_loads(m_settings.m_treeAdmission, m_gate)
    , m_registry(store, m_mesh, m_timers, m_log, m_random)
    , m_entryServices{m_settings, m_timers,
                      m_policy,   m_store,
                      m_gate,     m_mesh,
                      m_counters, m_log,
                      m_rates,    m_loads,
                      m_repeats,  m_splits,
                      m_random,   {m_settings.m_stop, {}},
                      {},         {}}
    , m_entry(m_entryServices, std::chrono::steady_clock::now())
    , m_platformLimits(platformLimits())
    , m_callers(context, m_settings.m_callerAddress, m_callerLimits,
                [this](const std::shared_ptr<ServerExchange> &exchange, HttpRequest request) {
                    m_entry.handle(exchange, std::move(request));
                })
    , m_readiness(context, m_settings.m_readinessAddress, m_platformLimits,
                  [this](const std::shared_ptr<ServerExchange> &exchange,
                         const HttpRequest &request) { handleReadiness(exchange, request); })
    , m_announcements(context, m_settings.m_announcementAddress, m_platformLimits,
                      [this](const std::shared_ptr<ServerExchange> &exchange, HttpRequest request) {
                          m_backend.handle(exchange, std::move(request));
                      })
{
    m_callers.setMaximumSessions(m_settings.m_maximumSessions);
    SessionSettings sessions;
    sessions.m_requestsAtOnce = m_settings.m_requestsAtOnce;
    sessions.m_bodies = m_bodies;
    m_callers.setSessionSettings(sessions);
    if (!m_settings.m_metricsAddress.empty())
        m_metricsServer = std::make_unique<HttpServer>(
                context, m_settings.m_metricsAddress, m_platformLimits,
                [this](const std::shared_ptr<ServerExchange> &exchange,
                       const HttpRequest &request) { handleMetrics(exchange, request); });
    m_rates.m_settings = m_settings.m_rates;
    m_repeats.m_settings = m_settings.m_repeats;
    m_startedAt = m_linkedAt = std::chrono::steady_clock::now();
    m_rateView.m_self = {m_settings.m_node, m_settings.m_region};
    m_rateView.m_startedAt = m_startedAt;
    m_gate.m_expectedHold = [this](const std::string &route) {
        return m_loads.expectedHold(route);
    };
    m_policy.m_onChanged = [this] { policyChanged(); };
    m_backend.m_isKnownService = [this](const std::string &service) {
        return service == m_settings.m_service
                || (m_policy.current() && m_policy.current()->serviceNamed(service) != nullptr);
    };
    m_backend.m_onChanged = [this] { backendChanged(); };
    m_backend.m_onDeparted = [this] { keepDepartures(); };
    m_backend.m_areDeparturesKept = [this](TimePoint since, TimePoint now) {
        return areDeparturesKept(since, now);
    };
    m_backend.m_onUnconfirmed = [this] { checkBackendServer(std::chrono::steady_clock::now()); };
    m_registry.m_onOwnRow = [this](const NodeRow &row) {
        m_backend.restore(row.m_departed);
        // Stores the restored departures together with those since the start.
        keepDepartures();
        m_gate.restoreProfile(row.m_profile);
        readEstablished(row);
    };
    // What the row says of an earlier process is older than what was read at the start.
    m_registry.m_onOutdatedRow = [this](const NodeRow &row) {
        m_backend.restore(row.m_departed);
        keepDepartures();
    };
    m_registry.m_onDeparturesStored = [this] {
        m_backend.acknowledgeDepartures(std::chrono::steady_clock::now());
    };
    m_registry.m_onTableRead = [this] {
        const TimePoint now = std::chrono::steady_clock::now();
        m_rateView.m_knowsNodes = true;
        updateRateSharers(now);
        m_entry.releaseStartQueue();
        checkBackendServer(now);
    };
    m_store.m_onReachabilityChanged = [this] {
        logState(m_store.m_reachable ? "store-reachable" : "store-lost", {});
    };
    m_store.m_onEra = [this](traffic::EraReading reading) { storeEraRead(reading); };
    m_store.m_onUnreadableEntry = [this](const UnreadableEntry &entry) {
        m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Warn,
                             {{"event", "store-entry-unreadable"},
                              {"table", entry.m_table},
                              {"key", entry.m_key},
                              {"problem", entry.m_problem}},
                             std::chrono::steady_clock::now());
    };
    m_store.followPolicy(
            [this](const PolicyDocument &document) { m_policy.applyIfNewer(document, "store"); });
    m_registry.start();
    logState("start",
             {{"node", m_settings.m_node},
              {"service", m_settings.m_service},
              {"failure_domain", m_settings.m_failureDomain},
              {"address", m_settings.m_peerAddress}});
    tick();
}

void RelayNode::stop()
{
    if (traffic::isStopping(m_entryServices.m_stop))
        return;
    m_entryServices.m_stop.m_requestedAt = std::chrono::steady_clock::now();
    logState("stopping",
             {{"running", std::to_string(m_gate.activeRuns())},
              {"sessions", std::to_string(m_callers.sessions())}});
}

void RelayNode::abort()
{
    m_stopped = true;
    m_callers.abort();
    m_readiness.abort();
    m_announcements.abort();
    if (m_metricsServer)
        m_metricsServer->abort();
    m_mesh.close();
}

bool RelayNode::isReady() const
{
    if (traffic::isStopping(m_entryServices.m_stop) || !m_policy.current())
        return false;
    const bool isolated = m_mesh.knownPeers() > 0 && m_mesh.linkedPeers() == 0
            && std::chrono::steady_clock::now() - m_linkedAt > IsolationTimeout;
    const bool unlinkedAtStart = m_mesh.linkedPeers() == 0 && !m_registry.hasReadTable();
    return !isolated && !unlinkedAtStart;
}

std::string RelayNode::metrics() const
{
    Gauges gauges;
    gauges.m_policyVersion = m_policy.version();
    gauges.m_peersKnown = m_mesh.knownPeers();
    gauges.m_peersLinked = m_mesh.linkedPeers();
    gauges.m_rateSharers = m_rates.m_sharers.size();
    gauges.m_rateFraction = m_rateView.m_fraction;
    const traffic::TargetLoad load = m_gate.load();
    gauges.m_running = load.m_running;
    gauges.m_waiting = static_cast<std::size_t>(load.m_waiting);
    gauges.m_backendConnections = m_gate.connectionsMade();
    gauges.m_ready = isReady();
    for (const auto &[service, state] : m_loads.admission().m_services)
        gauges.m_admitted.emplace(
                service, std::vector<double>(state.m_shares.begin(), state.m_shares.end()));
    Counters counters = m_counters;
    counters.m_storeCalls = m_store.m_calls;
    counters.m_storeFailures = m_store.m_failures;
    return metricsText(counters, gauges);
}

MeshHandlers RelayNode::meshHandlers()
{
    MeshHandlers handlers;
    handlers.m_run = [this](Call call, CallResponder responder) {
        // Other nodes stop sending calls once they have received the record that says so.
        if (m_mesh.self().m_leaving) {
            responder(Failure{call.m_id, true, false, FailureReason::Unavailable, m_gate.load()});
            return std::uint64_t{0};
        }
        const TimePoint deadline = traffic::latestDeadline(m_entryServices.m_stop);
        if (deadline != TimePoint::max())
            call.m_remaining = std::min(
                    call.m_remaining,
                    std::chrono::floor<Milliseconds>(deadline - std::chrono::steady_clock::now()));
        return m_gate.run(std::move(call), std::move(responder));
    };
    handlers.m_cancel = [this](std::uint64_t run) { m_gate.cancel(run); };
    handlers.m_status = [this](const NodeRecord &receiver, bool withProfile) {
        Status status;
        status.m_load = m_gate.load();
        status.m_policyVersion = m_policy.version();
        status.m_reachesStore = m_store.m_reachable;
        status.m_storeEra = m_store.m_era.m_current.value_or(0);
        status.m_demand = m_loads.demandFor(receiver, m_mesh, std::chrono::steady_clock::now());
        if (withProfile)
            status.m_profile = m_gate.profile();
        return status;
    };
    handlers.m_policyVersion = [this] { return m_policy.version(); };
    handlers.m_policyDocument = [this] { return m_policy.document(); };
    handlers.m_onPolicyVersion = [this](const std::string &node, std::uint64_t version) {
        handlePeerPolicyVersion(node, version);
    };
    handlers.m_onStoreEra = [this](std::uint64_t era) {
        // Nodes that do not follow the policy may not call the store for long.
        if (m_store.m_era.m_current && era > *m_store.m_era.m_current)
            m_registry.handleClaimedEra(era);
    };
    handlers.m_onPolicyDocument = [this](const std::string &node, const PolicyDocument &document) {
        m_policy.applyIfNewer(document, node);
    };
    handlers.m_rateStatement = [this] { return traffic::statementOf(m_rateView); };
    handlers.m_onNodeSeen = [this](const NodeRecord &record) { countNode(record); };
    handlers.m_onRateStatement = [this](const std::string &node,
                                        const traffic::RateStatement &statement, bool isFirst) {
        if (isFirst)
            traffic::recordLink(m_rateView, node, statement);
        else
            traffic::recordStatement(m_rateView, node, statement);
    };
    handlers.m_listNodes = [this] { return listNodes(); };
    handlers.m_onNodeList = [this](const NodeList &list) { adoptNodes(list); };
    handlers.m_grantTokens = [this](const TokenRequest &request) {
        return traffic::giveTokens(m_rates, request.m_organisation, request.m_wanted,
                                   std::chrono::steady_clock::now());
    };
    handlers.m_onTokensGranted = [this](const TokenGrant &grant) {
        traffic::addTokens(m_rates, grant.m_organisation, grant.m_tokens,
                           std::chrono::steady_clock::now());
        m_entry.tokensArrived();
    };
    handlers.m_onDepartures = [this](const std::vector<traffic::DepartedInstance> &departed) {
        m_backend.restore(departed);
        keepDepartures();
    };
    handlers.m_onRecordHeld = [this] {
        m_backend.acknowledgeDepartures(std::chrono::steady_clock::now());
    };
    handlers.m_onLinkChanged = [this](const NodeRecord &record, bool linked) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (linked) {
            m_linkedAt = now;
            checkBackendServer(now);
        } else {
            ++m_counters.m_linksLost;
            traffic::recordLoss(m_rateView, record.m_node, now);
        }
        logState(linked ? "link-made" : "link-lost",
                 {{"node", record.m_node},
                  {"service", record.m_service},
                  {"record_version", std::to_string(record.m_version)}});
    };
    return handlers;
}

void RelayNode::handleReadiness(const std::shared_ptr<ServerExchange> &exchange,
                                const HttpRequest &request)
{
    if (request.target() != m_settings.m_readinessPath) {
        exchange->respond(makeResponse(404, "not found\n"), false);
        return;
    }
    const bool ready = isReady();
    exchange->respond(makeResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"), false);
}

void RelayNode::handleMetrics(const std::shared_ptr<ServerExchange> &exchange,
                              const HttpRequest & /*request*/)
{
    HttpResponse response = makeResponse(200, metrics());
    response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
    exchange->respond(std::move(response), false);
}

void RelayNode::policyChanged()
{
    const traffic::TrafficPolicy &policy = m_policy.current()->policy();
    m_callerLimits = policy.m_limits;
    const TimePoint now = std::chrono::steady_clock::now();
    for (const traffic::OrganisationPolicy &organisation : policy.m_organisations)
        traffic::setRate(m_rates, organisation.m_name, organisation.m_rate, organisation.m_burst,
                         now);
    m_entry.releaseStartQueue();
    checkBackendServer(now);
    // Tells the new version to nodes that do not follow the store themselves.
    if (m_followsPolicy)
        m_mesh.sendStatuses();
}

void RelayNode::storeEraRead(traffic::EraReading reading)
{
    const std::optional<std::uint64_t> era = m_store.m_era.m_current;
    logState("store-era",
             {{"era", era ? std::to_string(*era) : "none"},
              {"reading", traffic::nameOf(reading)},
              {"policy", std::to_string(m_policy.version())}});
    if (reading == traffic::EraReading::Newer)
        m_registry.handleEra(*era);
}

void RelayNode::handlePeerPolicyVersion(const std::string &node, std::uint64_t version)
{
    if (version <= m_policy.version())
        return;
    const TimePoint now = std::chrono::steady_clock::now();
    const bool atOnce = !m_policy.current() || (!m_followsPolicy && isInRegion(node));
    if (version <= m_requestedPolicy && now < m_policyRequestExpiry)
        return;
    if (atOnce) {
        requestPolicy(node, version);
        return;
    }
    if (version <= m_scheduledPolicyRequest)
        return;
    m_scheduledPolicyRequest = version;
    m_timers.add(now + PolicyFromPeerDelay, [this, node, version] {
        m_scheduledPolicyRequest = 0;
        if (m_policy.version() >= version)
            return;
        requestPolicy(node, version);
        // The store's change feed should have delivered the version by now.
        if (m_followsPolicy && m_store.m_reachable)
            m_store.restartFollowing();
    });
}

void RelayNode::requestPolicy(const std::string &node, std::uint64_t version)
{
    m_requestedPolicy = version;
    m_policyRequestExpiry = std::chrono::steady_clock::now() + PolicyFromPeerDelay;
    m_mesh.requestPolicy(node);
}

bool RelayNode::isInRegion(const std::string &node) const
{
    const auto peer = m_mesh.peers().find(node);
    return peer != m_mesh.peers().end() && m_mesh.isInRegion(peer->second->m_record);
}

void RelayNode::backendChanged()
{
    const traffic::InstanceRegister &instances = m_backend.instances();
    m_mesh.updateSelf([&instances](NodeRecord &record) {
        record.m_usable = instances.m_usable;
        record.m_departed = traffic::toList(instances.m_departed);
        if (instances.m_current)
            record.m_service = instances.m_current->m_service;
    });
    m_entry.releaseStartQueue();
}

void RelayNode::keepDepartures()
{
    const std::vector<traffic::DepartedInstance> departed =
            traffic::toList(m_backend.instances().m_departed);
    m_registry.setDeparted(departed);
    if (m_mesh.self().m_departed != departed)
        m_mesh.updateSelf([&departed](NodeRecord &record) { record.m_departed = departed; });
}

bool RelayNode::areDeparturesKept(TimePoint since, TimePoint now) const
{
    if (m_registry.hasStoredDepartures())
        return true;
    if (m_store.m_reachable && now - since < StoreWriteTime)
        return false;
    const std::size_t needed = std::min(DepartureCopies, m_mesh.linkedPeers());
    return needed > 0 && m_mesh.nodesHoldingRecord() >= needed;
}

void RelayNode::checkBackendServer(TimePoint now)
{
    const traffic::ServicePolicy *service =
            m_policy.current() ? m_policy.current()->serviceNamed(m_settings.m_service) : nullptr;
    const bool readsRow = !m_registry.knowsOwnRow() && m_store.m_reachable;
    const bool awaitsPeers = m_mesh.linkedPeers() == 0
            && (m_mesh.knownPeers() > 0 || !m_registry.hasReadTable())
            && now - m_startedAt < PeerLinkTimeout;
    if (service != nullptr && !readsRow && !awaitsPeers)
        m_backend.discover(service->m_healthPath, now);
}

void RelayNode::tick()
{
    if (m_stopped)
        return;
    const TimePoint now = std::chrono::steady_clock::now();
    m_mesh.tick(now);
    m_entry.reconsiderCalls(now);
    m_entry.releaseStartQueue();
    if (m_mesh.linkedPeers() > 0)
        m_linkedAt = now;
    m_loads.update(m_mesh, m_backend.instances(), now);
    logPace();
    recordProfile(now);
    updateRateSharers(now);
    updateFollowing(now);
    if (now >= m_nextTimeoutCheck) {
        m_nextTimeoutCheck = now + TimeoutCheckInterval;
        m_callers.checkTimeouts(now);
        m_readiness.checkTimeouts(now);
        m_announcements.checkTimeouts(now);
        if (m_metricsServer)
            m_metricsServer->checkTimeouts(now);
        logReadiness(now);
    }
    if (now >= m_nextSheddingLog) {
        m_nextSheddingLog = now + SheddingLogInterval;
        logShedding(now);
    }
    checkBackendServer(now);
    m_backend.acknowledgeDepartures(now);
    advanceShutdown(now);
    m_timers.add(now + TickInterval, [this] { tick(); });
}

void RelayNode::updateRateSharers(TimePoint now)
{
    const bool tookPart = m_rateView.m_fraction > 0;
    m_rateView.m_isReleased = m_registry.hasStoredStop();
    traffic::updateView(m_rateView, now);
    traffic::setSharers(m_rates, m_rateView.m_self.m_node, traffic::sharersOf(m_rateView), now,
                        m_rateView.m_fraction);
    logRateSharers();
    if (m_rateView.m_isEstablished)
        m_registry.setEstablished(true);
    if (m_mesh.self().m_leaving)
        m_registry.setStopped(m_mesh.self().m_startedAt
                              + std::chrono::floor<Milliseconds>(now - m_startedAt));
    if (const std::optional<std::string> asked = traffic::nodeToAsk(m_rateView, now))
        m_mesh.requestNodes(*asked);
    if (!tookPart && m_rateView.m_fraction > 0)
        m_entry.releaseStartQueue();
}

void RelayNode::readEstablished(const NodeRow &row)
{
    const Milliseconds startedAt = m_mesh.self().m_startedAt;
    // A conflict may show a row that this process has written.
    if (row.m_record.m_startedAt == startedAt)
        return;
    std::optional<Milliseconds> absence;
    if (row.m_stoppedAt.count() != 0)
        absence = startedAt - row.m_stoppedAt;
    traffic::recordEarlierProcess(m_rateView, row.m_isEstablished, absence);
    m_registry.setEstablished(m_rateView.m_wasEstablished);
}

void RelayNode::countNode(const NodeRecord &record)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isNew = traffic::recordNode(m_rateView, {record.m_node, record.m_region}, now);
    // A node that takes part gives way before it answers. The others wait for the next tick, since
    // many nodes become known at the start.
    if (isNew && m_rateView.m_fraction > 0)
        updateRateSharers(now);
}

NodeList RelayNode::listNodes() const
{
    NodeList list;
    list.m_isComplete = m_rateView.m_fraction > 0;
    for (const auto &[node, member] : m_rateView.m_members) {
        const Peer *peer = m_mesh.peerNamed(node);
        if (peer == nullptr || list.m_nodes.size() == MaximumListedNodes) {
            list.m_isComplete = false;
            continue;
        }
        list.m_nodes.push_back(peer->m_record);
        list.m_nodes.back().m_departed.clear();
    }
    return list;
}

void RelayNode::adoptNodes(const NodeList &list)
{
    for (const NodeRecord &record : list.m_nodes) {
        m_mesh.updatePeer(record);
        // The mesh reports new nodes only; one that is known there may have been forgotten here.
        countNode(record);
    }
    m_rateView.m_knowsNodes = m_rateView.m_knowsNodes || list.m_isComplete;
    updateRateSharers(std::chrono::steady_clock::now());
}

void RelayNode::logRateSharers()
{
    const std::size_t sharers = m_rates.m_sharers.size();
    // While a fleet starts, nodes become known one after the other.
    const bool isChanged = m_rateView.m_fraction != m_loggedFraction
            || (m_rateView.m_isEstablished && sharers != m_loggedSharers);
    if (!isChanged)
        return;
    m_loggedFraction = m_rateView.m_fraction;
    m_loggedSharers = sharers;
    logState("rate-sharers",
             {{"nodes", std::to_string(sharers)},
              {"fraction", std::to_string(m_rateView.m_fraction)},
              {"established", m_rateView.m_isEstablished ? "true" : "false"},
              {"linked", std::to_string(m_mesh.linkedPeers())},
              {"read_table", m_registry.hasReadTable() ? "true" : "false"}});
}

void RelayNode::updateFollowing(TimePoint now)
{
    std::vector<traffic::FollowerCandidate> others;
    for (const auto &[node, peer] : m_mesh.peers()) {
        if (m_mesh.isInRegion(peer->m_record))
            others.push_back({node, m_mesh.isResponsive(*peer, now) && !peer->m_record.m_leaving,
                              peer->m_reachesStore});
    }
    const bool follows =
            traffic::shouldFollowPolicy({m_mesh.self().m_node, true, m_store.m_reachable}, others);
    if (follows == m_followsPolicy)
        return;
    m_followsPolicy = follows;
    m_store.setFollowing(follows);
    logState(follows ? "policy-following" : "policy-not-following",
             {{"candidates", std::to_string(others.size())},
              {"reaches_store", m_store.m_reachable ? "true" : "false"}});
}

void RelayNode::recordProfile(TimePoint now)
{
    if (now < m_nextProfileRecord)
        return;
    double runs = 0;
    for (const auto &[route, observed] : m_gate.profile())
        runs += observed.m_runs;
    if (runs < FirstRecordedRuns || runs == m_recordedRuns)
        return;
    m_recordedRuns = runs;
    m_nextProfileRecord = now + ProfileRecordInterval;
    m_registry.setProfile(m_gate.profile());
}

void RelayNode::advanceShutdown(TimePoint now)
{
    const traffic::Stop &stop = m_entryServices.m_stop;
    if (!traffic::isStopping(stop))
        return;
    if (!m_mesh.self().m_leaving && !traffic::servesOthers(stop, now))
        m_mesh.updateSelf([](NodeRecord &record) { record.m_leaving = true; });
    if (traffic::givesUp(stop, now)) {
        m_gate.stopNewRuns();
        abortRequests();
    }
    const std::size_t runs = m_gate.activeRuns();
    const std::size_t sessions = m_callers.busySessions();
    const std::size_t links = m_mesh.linksWithUnsentAnswers();
    // An acknowledged departure has to be stored for the next process before this one exits.
    const bool busy = runs + sessions + links > 0 || !m_registry.hasStoredDepartures();
    if (!traffic::hasEnded(stop, busy, now))
        return;
    m_stopped = true;
    logState(
            "stopped",
            {{"took_ms",
              std::to_string(
                      std::chrono::duration_cast<Milliseconds>(now - *stop.m_requestedAt).count())},
             {"running", std::to_string(runs)},
             {"busy_sessions", std::to_string(sessions)},
             {"unsent_links", std::to_string(links)},
             {"departures_kept", m_registry.hasStoredDepartures() ? "true" : "false"}});
    m_callers.close();
    m_mesh.close();
    if (m_onStopped)
        m_onStopped();
}

void RelayNode::abortRequests()
{
    // Copied since each call removes itself from the set when it ends.
    const std::vector<std::shared_ptr<EntryCall>> calls(m_entryServices.m_calls.begin(),
                                                        m_entryServices.m_calls.end());
    for (const std::shared_ptr<EntryCall> &call : calls)
        call->abort();
}

void RelayNode::logReadiness(TimePoint now)
{
    const bool ready = isReady();
    if (ready == m_wasReady || !m_log.allows(LogTopic::State, now))
        return;
    m_wasReady = ready;
    m_log.write(LogTopic::State, adapters::LogLevel::Info,
                {{"event", "readiness"},
                 {"ready", ready ? "true" : "false"},
                 {"policy", std::to_string(m_policy.version())},
                 {"peers_linked", std::to_string(m_mesh.linkedPeers())},
                 {"peers_known", std::to_string(m_mesh.knownPeers())}});
}

void RelayNode::logPace()
{
    const traffic::TargetLoad load = m_gate.load();
    const double limit = m_settings.m_secondAttempts.m_slowHold;
    // Returns only well below the limit, so that a value near it is not logged again and again.
    constexpr double UsualShare = 0.5;
    const bool isSlow = load.m_relativeHold >= limit * (m_wasSlow ? UsualShare : 1.0);
    if (isSlow == m_wasSlow)
        return;
    m_wasSlow = isSlow;
    logState(isSlow ? "backend-server-slow" : "backend-server-usual-pace",
             {{"relative_hold", std::to_string(load.m_relativeHold)},
              {"running", std::to_string(load.m_running)},
              {"waiting", std::to_string(load.m_waiting)}});
}

void RelayNode::logShedding(TimePoint now)
{
    for (const auto &[service, state] : m_loads.admission().m_services) {
        const double least = *std::min_element(state.m_shares.begin(), state.m_shares.end());
        if (least >= 1.0 || !m_log.allows(LogTopic::State, now))
            continue;
        std::string shares;
        for (const double share : state.m_shares)
            shares += (shares.empty() ? "" : ",") + std::to_string(share).substr(0, 4);
        m_log.write(LogTopic::State, adapters::LogLevel::Info,
                    {{"event", "shedding"},
                     {"service", service},
                     {"use", std::to_string(state.m_use)},
                     {"correction", std::to_string(state.m_correction)},
                     {"admitted", shares}});
    }
}

void RelayNode::logState(const std::string &event, std::vector<adapters::LogField> fields)
{
    fields.insert(fields.begin(), {"event", event});
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info, fields,
                         std::chrono::steady_clock::now());
}

} // namespace chervilmount::relay
