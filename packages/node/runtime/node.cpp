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

// Interval at which the graceful shutdown checks for active requests.
constexpr std::chrono::milliseconds DrainPollInterval{20};

// Time to flush queued frames, such as the last responses, before the links are closed.
constexpr std::chrono::milliseconds FlushTime{200};

// Shortest interval between updates of the candidates after member changes.
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
    m_parts.m_membership.start();
    m_parts.m_leases.start();
    m_parts.m_rates.start();
    boost::asio::co_spawn(context, watchMembers(), boost::asio::detached);
}

Node::~Node()
{
    *m_running = false;
}

void Node::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    if (const messages::MembershipMessage *message =
                std::get_if<messages::MembershipMessage>(&frame))
        m_parts.m_membership.receive(*message);
    else if (const messages::SharedStateMessage *shared =
                     std::get_if<messages::SharedStateMessage>(&frame))
        receiveSharedState(*shared);
    else if (from.m_inbound)
        m_parts.m_incoming.receive(from, std::move(frame));
    else
        m_parts.m_outgoing.receive(from, std::move(frame));
}

void Node::receiveSharedState(const messages::SharedStateMessage &message)
{
    m_parts.m_leases.receive(message.m_payload);
    m_parts.m_rates.receive(message.m_payload);
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

void Node::watchBackend(steady_clock::time_point now)
{
    const bool announced = m_parts.m_backend.announced(now) != nullptr;
    if (m_backendAnnounced && !announced)
        m_parts.m_membership.handleEvent(membership::BackendLost{});
    m_backendAnnounced = announced;
}

adapters::Task<> Node::watchMembers()
{
    const std::shared_ptr<bool> running = m_running;
    std::uint64_t seenRevision = 0;
    std::uint64_t seenVersion = 0;
    std::uint64_t configuredVersion = 0;
    while (*running) {
        const steady_clock::time_point now = steady_clock::now();
        watchBackend(now);
        const std::uint64_t revision = m_parts.m_membership.revision();
        const auto &configuration = m_parts.m_configuration.current();
        // A new configuration may change the region of a failure domain.
        const std::uint64_t version = configuration ? configuration->version() : 0;
        if (revision != seenRevision || version != seenVersion) {
            seenRevision = revision;
            seenVersion = version;
            if (configuration && version != configuredVersion) {
                configuredVersion = version;
                m_parts.m_rates.configure(configuration->m_versioned.configuration());
            }
            m_parts.refreshLeaseCandidates(now);
            m_parts.m_router.refresh(now);
            m_parts.m_router.setLink(static_cast<double>(m_parts.m_settings.m_linkBytesPerSecond),
                                     static_cast<int>(m_parts.m_membership.state().m_table.size()),
                                     now);
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
    m_parts.m_membership.handleEvent(membership::LeaveStarted{});
    m_parts.m_leases.releaseAll();
    m_callers->stopAccepting();
    boost::asio::co_spawn(m_parts.m_context, drain(), boost::asio::detached);
}

adapters::Task<> Node::drain()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running
           && (m_parts.m_incoming.active() > 0 || m_parts.m_outgoing.active() > 0
               || m_parts.m_claims.active() > 0 || m_callers->activeRequests() > 0))
        co_await adapters::sleepFor(DrainPollInterval);
    if (!*running)
        co_return;
    m_parts.m_membership.handleEvent(membership::LeaveFinished{});
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
