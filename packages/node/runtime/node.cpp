#include "node/runtime/node.h"

#include "node/control/operatorapi.h"
#include "node/entry/callerhandler.h"
#include "node/inbound/localhandler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

// How often the shutdown looks whether requests are still active.
constexpr std::chrono::milliseconds DrainInterval{20};

// Time for frames that were queued before the links are closed, such as the last responses.
constexpr std::chrono::milliseconds FlushTime{200};

// How often the candidates are drawn anew after changes of the members.
constexpr std::chrono::milliseconds RefreshInterval{50};

adapters::PeerTransportSettings transportSettings(const NodeSettings &settings,
                                                  std::uint64_t incarnation)
{
    adapters::PeerTransportSettings result;
    result.m_bindAddress = settings.m_peerAddress;
    result.m_ownAddress = settings.m_advertisedAddress;
    result.m_incarnation = incarnation;
    result.m_keys = settings.m_meshKeys;
    return result;
}

} // namespace

Node::Node(boost::asio::io_context &context, NodeSettings settings, std::uint64_t incarnation,
           std::uint64_t seed)
    : m_parts(context, std::move(settings), incarnation, seed)
{
    const boost::asio::any_io_executor executor = context.get_executor();
    const NodeSettings &own = m_parts.m_settings;
    m_parts.m_stop = [this] { stop(); };
    m_parts.m_transport = std::make_unique<adapters::PeerTransport>(
            executor, transportSettings(own, incarnation),
            [this](const adapters::PeerHandle &from, messages::Frame &&frame) {
                receive(from, std::move(frame));
            },
            [this](const adapters::PeerHandle &to, messages::Frame &&frame) {
                m_parts.m_outgoing.undelivered(to, frame);
            });
    m_callers = std::make_unique<adapters::HttpListener>(
            executor, own.m_callerAddress, own.m_callerLimits,
            [this](adapters::HttpExchange &exchange) { return handleCaller(m_parts, exchange); });
    m_local = std::make_unique<adapters::HttpListener>(
            executor, own.m_localAddress, own.m_localLimits,
            [this](adapters::HttpExchange &exchange) { return handleLocal(m_parts, exchange); });
    m_operators = std::make_unique<adapters::HttpListener>(
            executor, own.m_operatorAddress, own.m_operatorLimits,
            [this](adapters::HttpExchange &exchange) { return handleOperator(m_parts, exchange); });
    boost::asio::co_spawn(context, pollConfiguration(), boost::asio::detached);
    boost::asio::co_spawn(context, sendHeartbeats(), boost::asio::detached);
    boost::asio::co_spawn(context, refreshCandidates(), boost::asio::detached);
}

Node::~Node()
{
    *m_running = false;
}

void Node::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    if (const auto *heartbeat = std::get_if<messages::Heartbeat>(&frame))
        m_parts.m_members.receive(heartbeat->m_sender, steady_clock::now());
    else if (from.m_inbound)
        m_parts.m_incoming.receive(from, std::move(frame));
    else
        m_parts.m_outgoing.receive(from, std::move(frame));
}

adapters::Task<> Node::pollConfiguration()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        co_await m_parts.m_configurationStore.refresh();
        if (!*running)
            co_return;
        co_await adapters::sleepFor(m_parts.m_settings.m_configurationPollInterval);
    }
}

void Node::sendHeartbeat()
{
    Members &members = m_parts.m_members;
    const bool serving = members.own().m_state == static_cast<std::uint32_t>(MemberState::Serving);
    if (serving && m_parts.m_backend.announced(steady_clock::now()) == nullptr)
        members.updateOwn(members.own().m_service, 0, MemberState::Joining);
    for (const std::string &peer : m_parts.m_settings.m_peers) {
        if (peer != m_parts.m_settings.m_advertisedAddress)
            m_parts.m_transport->send({false, peer}, messages::Heartbeat{members.own()});
    }
}

adapters::Task<> Node::sendHeartbeats()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        sendHeartbeat();
        co_await adapters::sleepFor(m_parts.m_settings.m_heartbeatInterval);
    }
}

adapters::Task<> Node::refreshCandidates()
{
    const std::shared_ptr<bool> running = m_running;
    std::uint64_t seenRevision = 0;
    int rounds = 0;
    while (*running) {
        // Members that fall silent do not change their record, so all are looked at now and then.
        constexpr int FullRounds = 20;
        const std::uint64_t revision = m_parts.m_members.revision();
        if (revision != seenRevision || ++rounds >= FullRounds) {
            rounds = 0;
            seenRevision = revision;
            const steady_clock::time_point now = steady_clock::now();
            m_parts.m_router.refresh(now);
            m_parts.m_router.setLink(static_cast<double>(m_parts.m_settings.m_linkBytesPerSecond),
                                     static_cast<int>(m_parts.m_members.all().size()) + 1, now);
        }
        co_await adapters::sleepFor(RefreshInterval);
    }
}

void Node::stop()
{
    if (m_parts.m_leaving)
        return;
    m_parts.m_leaving = true;
    m_parts.m_incoming.setLeaving(true);
    m_parts.m_members.updateOwn(m_parts.m_members.own().m_service, 0, MemberState::Leaving);
    sendHeartbeat();
    m_callers->stopAccepting();
    boost::asio::co_spawn(m_parts.m_context, drain(), boost::asio::detached);
}

adapters::Task<> Node::drain()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running
           && (m_parts.m_incoming.active() > 0 || m_parts.m_outgoing.active() > 0
               || m_parts.m_claims.active() > 0 || m_callers->activeRequests() > 0))
        co_await adapters::sleepFor(DrainInterval);
    if (!*running)
        co_return;
    m_parts.m_members.updateOwn(m_parts.m_members.own().m_service, 0, MemberState::Left);
    sendHeartbeat();
    co_await adapters::sleepFor(FlushTime);
    if (!*running)
        co_return;
    *m_running = false;
    m_callers->close();
    m_local->close();
    m_operators->close();
    m_parts.m_transport->close();
    m_stopped = true;
    if (m_onStopped)
        m_onStopped();
}

} // namespace chervilmount::node
