#include "relay/link/mesh.h"

#include "relay/http/socketoptions.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilmount::relay {

namespace {

using Milliseconds = std::chrono::milliseconds;

/** Time between statuses. They are rarer between regions, where bandwidth is scarce and charged by
 * volume. */
constexpr Milliseconds RegionStatusInterval{200};
constexpr Milliseconds OtherRegionStatusInterval{1000};
/** Status intervals without a frame after which a node is silent: a status is late by half its
 * interval. */
constexpr double SilentIntervals = 1.5;
/** Status intervals without a frame after which a node gets no new calls, and after which its link
 * is retired. */
constexpr int MissedUntilUnresponsive = 3;
constexpr int MissedUntilRetired = 5;
/** Upper bound of both times, for regions with long status intervals. */
constexpr Milliseconds MaximumSilence{3500};

/** Profiles change slowly, so only every n-th status carries one. */
constexpr int StatusesPerProfile = 5;

constexpr traffic::DialSettings Dialling;

/** A longer gap between ticks means that this process was paused. Other nodes are not suspected for
 * frames that could not be read meanwhile. */
constexpr Milliseconds PauseDetectionGap{600};

/** Fails calls whose link has ended. They may have run, so they are reported as arrived. */
void failCalls(const std::unordered_map<std::uint64_t, CallResponder> &calls)
{
    for (const auto &[number, responder] : calls)
        responder(Failure{number, false, true, FailureReason::LinkLost, {}});
}

} // namespace

Mesh::Mesh(boost::asio::io_context &context, TimerQueue &timers, NodeRecord self,
           const std::string &listenAddress, MeshHandlers handlers)
    : m_context(context)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_acceptor(context, parseEndpoint(listenAddress.empty() ? m_self.m_address : listenAddress))
    , m_lastTick(std::chrono::steady_clock::now())
{
    accept();
}

Mesh::~Mesh()
{
    close();
}

void Mesh::updatePeer(const NodeRecord &record)
{
    if (record.m_node == m_self.m_node || record.m_node.empty() || record.m_address.empty())
        return;
    std::unique_ptr<Peer> &peer = m_peers[record.m_node];
    const bool isNew = peer == nullptr;
    if (isNew)
        peer = std::make_unique<Peer>();
    else if (!isNewer(record, peer->m_record))
        return;
    const TimePoint now = std::chrono::steady_clock::now();
    const bool isOtherProcess = isNew || record.m_startedAt != peer->m_record.m_startedAt
            || record.m_address != peer->m_record.m_address;
    if (isOtherProcess) {
        forgetEarlierProcess(*peer, now);
        traffic::restartDialling(peer->m_dial, now);
    }
    setRecord(*peer, record);
    if (isNew)
        m_handlers.m_onNodeSeen(peer->m_record);
    if (!peer->m_link && !peer->m_dialling && now >= peer->m_dial.m_nextAt)
        connect(*peer, now);
}

void Mesh::setInitialProfile(const std::string &node, const traffic::CallProfile &profile)
{
    Peer *peer = find(node);
    if (peer != nullptr && peer->m_profile.empty())
        peer->m_profile = profile;
}

void Mesh::updateSelf(const std::function<void(NodeRecord &)> &change)
{
    change(m_self);
    ++m_self.m_version;
    for (const std::shared_ptr<Session> &session : m_sessions)
        session->m_selfRecordSent = false;
    sendStatuses();
}

void Mesh::sendStatuses()
{
    const TimePoint now = std::chrono::steady_clock::now();
    // Iterate over a copy: a link that fails in send() is removed from m_sessions.
    const std::list<std::shared_ptr<Session>> sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions)
        sendStatus(*session, now);
}

std::size_t Mesh::nodesHoldingRecord() const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [this](const auto &entry) {
                return entry.second->m_link && entry.second->m_heldVersion == m_self.m_version;
            }));
}

void Mesh::tick(TimePoint now)
{
    const bool wasPaused = now - m_lastTick > PauseDetectionGap;
    m_lastTick = now;
    for (const auto &[node, peer] : m_peers) {
        if (wasPaused)
            peer->m_lastReceivedAt = now;
        const Milliseconds longest =
                std::min(statusInterval(peer->m_record) * MissedUntilRetired, MaximumSilence);
        if (peer->m_link && now - peer->m_lastReceivedAt > longest)
            retireLink(*peer, now);
        peer->m_target.m_isSilent = isSilent(*peer, now);
        if (!peer->m_link && !peer->m_dialling && now >= peer->m_dial.m_nextAt)
            connect(*peer, now);
    }
    // A retired link is left without calls if its last one was cancelled; close it here.
    for (const auto &[node, peer] : m_peers) {
        std::erase_if(peer->m_retired, [](const std::shared_ptr<RetiredLink> &retired) {
            if (!retired->m_calls.empty())
                return false;
            retired->m_link->close();
            return true;
        });
    }
    const std::list<std::shared_ptr<Session>> sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        if (session->m_helloReceived && now >= session->m_nextStatusAt)
            sendStatus(*session, now);
    }
}

std::vector<const traffic::Target *> Mesh::targetsOf(const std::string &service,
                                                     TimePoint now) const
{
    std::vector<const traffic::Target *> targets;
    for (const auto &[node, peer] : m_peers) {
        if (peer->m_record.m_service == service && peer->m_record.m_usable
            && !peer->m_record.m_leaving && peer->m_target.m_load.m_limit > 0
            && isResponsive(*peer, now))
            targets.push_back(&peer->m_target);
    }
    return targets;
}

std::uint64_t Mesh::call(const std::string &node, Call call, CallResponder responder)
{
    Peer *peer = find(node);
    if (peer == nullptr || !peer->m_link)
        return 0;
    const std::uint64_t number = ++m_lastCall;
    call.m_id = number;
    peer->m_calls.emplace(number, std::move(responder));
    ++peer->m_target.m_sentSinceReport;
    peer->m_link->send(call);
    return number;
}

void Mesh::cancel(const std::string &node, std::uint64_t number)
{
    Peer *peer = find(node);
    if (peer == nullptr)
        return;
    if (peer->m_calls.erase(number) > 0) {
        if (peer->m_link)
            peer->m_link->send(Cancel{number});
        return;
    }
    const auto found = std::find_if(peer->m_retired.begin(), peer->m_retired.end(),
                                    [number](const std::shared_ptr<RetiredLink> &retired) {
                                        return retired->m_calls.contains(number);
                                    });
    if (found == peer->m_retired.end())
        return;
    const std::shared_ptr<RetiredLink> retired = *found;
    retired->m_calls.erase(number);
    retired->m_link->send(Cancel{number});
}

void Mesh::recordAttempt(const std::string &node, routing::AttemptResult result,
                         const routing::OutlierSettings &settings, TimePoint now)
{
    Peer *peer = find(node);
    if (peer != nullptr && routing::recordAttempt(peer->m_target.m_outlier, settings, result))
        routing::eject(peer->m_target.m_outlier, settings, now);
}

void Mesh::requestPolicy(const std::string &node)
{
    Peer *peer = find(node);
    if (peer != nullptr && peer->m_link)
        peer->m_link->send(PolicyRequest{});
}

void Mesh::requestNodes(const std::string &node)
{
    Peer *peer = find(node);
    if (peer != nullptr && peer->m_link)
        peer->m_link->send(NodesRequest{});
}

void Mesh::requestTokens(const TokenRequest &request, const std::vector<std::string> &nodes,
                         std::uint64_t draw)
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<Peer *> sameRegion;
    std::vector<Peer *> otherRegion;
    for (const std::string &node : nodes) {
        Peer *peer = find(node);
        if (peer != nullptr && isResponsive(*peer, now))
            (isInRegion(peer->m_record) ? sameRegion : otherRegion).push_back(peer);
    }
    // Nodes of other regions are asked only rarely, to save bandwidth between the regions.
    constexpr std::uint64_t OtherRegionOneIn = 8;
    const bool asksOtherRegion =
            !otherRegion.empty() && (sameRegion.empty() || draw % OtherRegionOneIn == 0);
    const std::vector<Peer *> &candidates = asksOtherRegion ? otherRegion : sameRegion;
    if (!candidates.empty())
        candidates[(draw / OtherRegionOneIn) % candidates.size()]->m_link->send(request);
}

std::size_t Mesh::linkedPeers() const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) {
                return entry.second->m_link && entry.second->m_helloReceived;
            }));
}

void Mesh::close()
{
    if (std::exchange(m_closed, true))
        return;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &[node, peer] : m_peers) {
        if (peer->m_link)
            peer->m_link->close();
        for (const std::shared_ptr<RetiredLink> &retired : peer->m_retired)
            retired->m_link->close();
    }
    for (const std::shared_ptr<Session> &session : m_sessions)
        session->m_link->close();
    m_sessions.clear();
}

void Mesh::accept()
{
    m_acceptor.async_accept(
            [this, alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code error,
                                                         boost::asio::ip::tcp::socket socket) {
                if (alive.expired() || m_closed || error == boost::asio::error::operation_aborted)
                    return;
                if (!error)
                    startSession(std::move(socket));
                accept();
            });
}

void Mesh::startSession(boost::asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<Session>();
    session->m_link = std::make_shared<FrameConnection>(std::move(socket));
    session->m_link->m_onFrame = [this, session](Frame frame) {
        receive(session, std::move(frame));
    };
    session->m_link->m_onClosed = [this, session] { endSession(session); };
    m_sessions.push_back(session);
    session->m_link->start();
}

void Mesh::endSession(const std::shared_ptr<Session> &session)
{
    const std::unordered_map<std::uint64_t, std::uint64_t> runs = std::move(session->m_runsByCall);
    m_sessions.remove(session);
    for (const auto &[call, run] : runs)
        m_handlers.m_cancel(run);
}

void Mesh::receive(const std::shared_ptr<Session> &session, Frame frame)
{
    if (Hello *hello = std::get_if<Hello>(&frame)) {
        session->m_record = hello->m_record;
        session->m_helloReceived = true;
        updatePeer(hello->m_record);
        // The answer proves to the other node that it is counted here.
        m_handlers.m_onNodeSeen(hello->m_record);
        session->m_link->send(helloFor(hello->m_record.m_node));
        sendStatus(*session, std::chrono::steady_clock::now());
        if (!hello->m_departed.empty())
            m_handlers.m_onDepartures(hello->m_departed);
    } else if (Call *call = std::get_if<Call>(&frame)) {
        runCall(session, std::move(*call));
    } else if (const Cancel *cancel = std::get_if<Cancel>(&frame)) {
        const auto found = session->m_runsByCall.find(cancel->m_id);
        if (found == session->m_runsByCall.end())
            return;
        const std::uint64_t run = found->second;
        session->m_runsByCall.erase(found);
        m_handlers.m_cancel(run);
    } else if (std::holds_alternative<PolicyRequest>(frame)) {
        session->m_link->send(m_handlers.m_policyDocument());
    } else if (std::holds_alternative<NodesRequest>(frame)) {
        session->m_link->send(m_handlers.m_listNodes());
    } else if (const TokenRequest *request = std::get_if<TokenRequest>(&frame)) {
        const double given = m_handlers.m_grantTokens(*request);
        if (given > 0)
            session->m_link->send(TokenGrant{request->m_organisation, given});
    }
}

void Mesh::runCall(const std::shared_ptr<Session> &session, Call call)
{
    const std::uint64_t id = call.m_id;
    auto ended = std::make_shared<bool>(false);
    const std::uint64_t run =
            m_handlers.m_run(std::move(call), [session, id, ended](CallResult result) {
                *ended = true;
                session->m_runsByCall.erase(id);
                std::visit([&session](auto &end) { session->m_link->send(std::move(end)); },
                           result);
                session->m_lastAnswerEnd = session->m_link->queuedBytes();
            });
    if (!*ended)
        session->m_runsByCall.emplace(id, run);
}

void Mesh::sendStatus(Session &session, TimePoint now)
{
    if (!session.m_helloReceived)
        return;
    const bool withProfile = now >= session.m_nextProfileAt;
    Status status = m_handlers.m_status(session.m_record, withProfile);
    status.m_rates = m_handlers.m_rateStatement();
    const Peer *peer = peerNamed(session.m_record.m_node);
    if (peer != nullptr && peer->m_record.m_startedAt == session.m_record.m_startedAt)
        status.m_heldVersion = peer->m_record.m_version;
    if (!std::exchange(session.m_selfRecordSent, true))
        status.m_record = m_self;
    const Milliseconds interval = statusInterval(session.m_record);
    if (withProfile)
        session.m_nextProfileAt = now + interval * StatusesPerProfile;
    session.m_nextStatusAt = now + interval;
    session.m_link->send(status);
}

void Mesh::setRecord(Peer &peer, const NodeRecord &record)
{
    peer.m_record = record;
    traffic::mergeDepartures(peer.m_departed, record.m_departed);
    updatePlace(peer);
}

void Mesh::reportHeldVersion(const std::string &node)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::list<std::shared_ptr<Session>> sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        if (session->m_record.m_node == node)
            sendStatus(*session, now);
    }
}

Hello Mesh::helloFor(const std::string &node)
{
    const Peer *peer = peerNamed(node);
    return {m_self, m_handlers.m_policyVersion(),
            peer == nullptr ? std::vector<traffic::DepartedInstance>()
                            : traffic::toList(peer->m_departed),
            m_handlers.m_rateStatement()};
}

void Mesh::connect(Peer &peer, TimePoint now)
{
    if (m_closed)
        return;
    boost::asio::ip::tcp::endpoint endpoint;
    try {
        endpoint = parseEndpoint(peer.m_record.m_address);
    } catch (const std::invalid_argument &) {
        traffic::dialFailed(peer.m_dial, Dialling, now);
        return;
    }
    const auto socket = std::make_shared<boost::asio::ip::tcp::socket>(m_context);
    peer.m_dialling = socket;
    const TimerId timer = m_timers.add(now + Dialling.m_timeout, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect(endpoint,
                          [this, socket, timer, node = peer.m_record.m_node,
                           alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code error) {
                              if (alive.expired() || m_closed)
                                  return;
                              m_timers.cancel(timer);
                              connectEnded(node, socket, error);
                          });
}

void Mesh::connectEnded(const std::string &node,
                        const std::shared_ptr<boost::asio::ip::tcp::socket> &socket,
                        boost::system::error_code error)
{
    Peer *peer = find(node);
    // The attempt may have been given up for one to a later process of the node.
    if (peer == nullptr || peer->m_dialling != socket)
        return;
    peer->m_dialling = nullptr;
    if (error)
        traffic::dialFailed(peer->m_dial, Dialling, std::chrono::steady_clock::now());
    else
        startLink(*peer, std::move(*socket));
}

void Mesh::forgetEarlierProcess(Peer &peer, TimePoint now)
{
    if (peer.m_dialling) {
        boost::system::error_code ignored;
        peer.m_dialling->close(ignored);
        peer.m_dialling = nullptr;
    }
    // A link without a Hello may already lead to the new process.
    if (peer.m_link && peer.m_helloReceived)
        loseLink(peer, now);
}

void Mesh::startLink(Peer &peer, boost::asio::ip::tcp::socket socket)
{
    peer.m_link = std::make_shared<FrameConnection>(std::move(socket));
    peer.m_helloReceived = false;
    peer.m_lastReceivedAt = std::chrono::steady_clock::now();
    peer.m_target.m_outlier = {};
    Peer *pointer = &peer;
    peer.m_link->m_onFrame = [this, pointer](Frame frame) { receive(*pointer, std::move(frame)); };
    peer.m_link->m_onClosed = [this, pointer] {
        loseLink(*pointer, std::chrono::steady_clock::now());
    };
    peer.m_link->start();
    peer.m_link->send(helloFor(peer.m_record.m_node));
}

void Mesh::receive(Peer &peer, Frame frame)
{
    peer.m_lastReceivedAt = std::chrono::steady_clock::now();
    if (const Hello *hello = std::get_if<Hello>(&frame)) {
        peer.m_helloReceived = true;
        traffic::linkEstablished(peer.m_dial);
        setRecord(peer, hello->m_record);
        if (!hello->m_departed.empty())
            m_handlers.m_onDepartures(hello->m_departed);
        m_handlers.m_onNodeSeen(peer.m_record);
        m_handlers.m_onRateStatement(peer.m_record.m_node, hello->m_rates, true);
        m_handlers.m_onLinkChanged(peer.m_record, true);
        m_handlers.m_onPolicyVersion(peer.m_record.m_node, hello->m_policyVersion);
    } else if (Status *status = std::get_if<Status>(&frame)) {
        if (status->m_record) {
            setRecord(peer, *status->m_record);
            if (!peer.m_record.m_departed.empty())
                reportHeldVersion(peer.m_record.m_node);
        }
        if (status->m_heldVersion != std::exchange(peer.m_heldVersion, status->m_heldVersion)
            && m_handlers.m_onRecordHeld)
            m_handlers.m_onRecordHeld();
        peer.m_target.m_load = status->m_load;
        peer.m_target.m_sentSinceReport = 0;
        if (!status->m_profile.empty())
            peer.m_profile = std::move(status->m_profile);
        peer.m_demand = std::move(status->m_demand);
        peer.m_reachesStore = status->m_reachesStore;
        m_handlers.m_onStoreEra(status->m_storeEra);
        m_handlers.m_onRateStatement(peer.m_record.m_node, status->m_rates, false);
        m_handlers.m_onPolicyVersion(peer.m_record.m_node, status->m_policyVersion);
    } else if (Answer *answer = std::get_if<Answer>(&frame)) {
        peer.m_target.m_load = answer->m_load;
        peer.m_target.m_sentSinceReport = 0;
        completeCall(peer, answer->m_id, std::move(*answer));
    } else if (Failure *failure = std::get_if<Failure>(&frame)) {
        peer.m_target.m_load = failure->m_load;
        peer.m_target.m_sentSinceReport = 0;
        completeCall(peer, failure->m_id, *failure);
    } else if (const PolicyDocument *document = std::get_if<PolicyDocument>(&frame)) {
        m_handlers.m_onPolicyDocument(peer.m_record.m_node, *document);
    } else if (const NodeList *list = std::get_if<NodeList>(&frame)) {
        m_handlers.m_onNodeList(*list);
    } else if (const TokenGrant *grant = std::get_if<TokenGrant>(&frame)) {
        m_handlers.m_onTokensGranted(*grant);
    }
}

void Mesh::completeCall(Peer &peer, std::uint64_t id, CallResult result)
{
    const auto found = peer.m_calls.find(id);
    if (found == peer.m_calls.end())
        return;
    const CallResponder responder = std::move(found->second);
    peer.m_calls.erase(found);
    responder(std::move(result));
}

void Mesh::loseLink(Peer &peer, TimePoint now)
{
    if (!peer.m_link)
        return;
    peer.m_link->close();
    const std::unordered_map<std::uint64_t, CallResponder> calls = std::move(peer.m_calls);
    resetLink(peer, now);
    failCalls(calls);
}

void Mesh::retireLink(Peer &peer, TimePoint now)
{
    if (peer.m_calls.empty()) {
        loseLink(peer, now);
        return;
    }
    const auto retired = std::make_shared<RetiredLink>();
    retired->m_link = peer.m_link;
    retired->m_calls = std::move(peer.m_calls);
    Peer *pointer = &peer;
    const std::weak_ptr<RetiredLink> weak = retired;
    retired->m_link->m_onFrame = [this, pointer, weak](Frame frame) {
        if (const std::shared_ptr<RetiredLink> link = weak.lock())
            receiveOnRetired(*pointer, link, std::move(frame));
    };
    retired->m_link->m_onClosed = [pointer, weak] {
        if (const std::shared_ptr<RetiredLink> link = weak.lock())
            closeRetired(*pointer, link);
    };
    peer.m_retired.push_back(retired);
    resetLink(peer, now);
}

void Mesh::receiveOnRetired(Peer &peer, const std::shared_ptr<RetiredLink> &retired, Frame frame)
{
    std::uint64_t number = 0;
    std::optional<CallResult> result;
    if (Answer *answer = std::get_if<Answer>(&frame)) {
        number = answer->m_id;
        result = std::move(*answer);
    } else if (const Failure *failure = std::get_if<Failure>(&frame)) {
        number = failure->m_id;
        result = *failure;
    }
    if (result) {
        auto call = retired->m_calls.extract(number);
        if (!call.empty())
            call.mapped()(std::move(*result));
    }
    if (retired->m_calls.empty())
        closeRetired(peer, retired);
}

void Mesh::closeRetired(Peer &peer, const std::shared_ptr<RetiredLink> &retired)
{
    retired->m_link->close();
    peer.m_retired.remove(retired);
    const std::unordered_map<std::uint64_t, CallResponder> calls = std::move(retired->m_calls);
    failCalls(calls);
}

void Mesh::resetLink(Peer &peer, TimePoint now)
{
    peer.m_link = nullptr;
    peer.m_calls.clear();
    peer.m_heldVersion = 0;
    const bool helloWasReceived = std::exchange(peer.m_helloReceived, false);
    peer.m_lostAt = now;
    traffic::linkLost(peer.m_dial, Dialling, now);
    if (helloWasReceived)
        m_handlers.m_onLinkChanged(peer.m_record, false);
}

std::size_t Mesh::linksWithUnsentAnswers() const
{
    return static_cast<std::size_t>(std::count_if(
            m_sessions.begin(), m_sessions.end(), [](const std::shared_ptr<Session> &session) {
                return session->m_link->sentBytes() < session->m_lastAnswerEnd;
            }));
}

bool Mesh::isResponsive(const Peer &peer, TimePoint now) const
{
    return peer.m_link && peer.m_helloReceived
            && now - peer.m_lastReceivedAt
            < std::min(statusInterval(peer.m_record) * MissedUntilUnresponsive, MaximumSilence);
}

bool Mesh::isSilent(const Peer &peer, TimePoint now) const
{
    return !peer.m_link
            || now - peer.m_lastReceivedAt > statusInterval(peer.m_record) * SilentIntervals;
}

const Peer *Mesh::peerNamed(const std::string &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : found->second.get();
}

std::chrono::milliseconds Mesh::statusInterval(const NodeRecord &other) const
{
    return isInRegion(other) ? RegionStatusInterval : OtherRegionStatusInterval;
}

Peer *Mesh::find(const std::string &node)
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : found->second.get();
}

void Mesh::updatePlace(Peer &peer) const
{
    peer.m_target.m_node = peer.m_record.m_node;
    if (peer.m_record.m_failureDomain == m_self.m_failureDomain)
        peer.m_target.m_place = routing::Place::SameFailureDomain;
    else if (isInRegion(peer.m_record))
        peer.m_target.m_place = routing::Place::SameRegion;
    else
        peer.m_target.m_place = routing::Place::OtherRegion;
}

} // namespace chervilmount::relay
