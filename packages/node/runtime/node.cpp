#include "node/runtime/node.h"

#include "node/calls/requestids.h"
#include "node/control/operatorapi.h"
#include "node/entry/nestedcalls.h"
#include "node/entry/replies.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include <type_traits>
#include <utility>

namespace chervilmount::node {

namespace {

// How often the shutdown looks whether requests are still active.
constexpr std::chrono::milliseconds DrainInterval{20};

// Frames that were queued before the links are closed, such as the last responses.
constexpr std::chrono::milliseconds FlushTime{100};

messages::MemberRecord ownRecord(const NodeSettings &settings, std::uint64_t incarnation)
{
    messages::MemberRecord record;
    record.m_failureDomain = settings.m_failureDomain;
    record.m_address = settings.m_advertisedAddress;
    record.m_incarnation = incarnation;
    return record;
}

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

Announcement parseAnnouncement(const std::string &text)
{
    const boost::json::value document = boost::json::parse(text);
    Announcement announcement;
    announcement.m_service = std::string(document.at("service").as_string());
    announcement.m_address = std::string(document.at("address").as_string());
    announcement.m_slots = document.at("slots").to_number<std::uint32_t>();
    announcement.m_connections = document.at("connections").to_number<std::uint32_t>();
    if (const boost::json::value *load = document.as_object().if_contains("load"))
        announcement.m_load = load->to_number<double>();
    return announcement;
}

} // namespace

Node::Node(boost::asio::io_context &context, NodeSettings settings, std::uint64_t incarnation,
           std::uint64_t seed)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_platform(context.get_executor(), m_settings.m_platform)
    , m_configurationStore(m_platform, m_configuration)
    , m_members(ownRecord(m_settings, incarnation))
    , m_backend(context.get_executor(), m_settings.m_backendHeadBytes,
                m_settings.m_backendConnectTimeout)
    , m_incoming(context.get_executor(), m_backend, m_settings.m_incomingCalls,
                 [this](const adapters::PeerHandle &to, const messages::Frame &frame) {
                     return m_transport->send(to, frame);
                 })
    , m_outgoing(context.get_executor(),
                 [this](const adapters::PeerHandle &to, const messages::Frame &frame) {
                     return m_transport->send(to, frame);
                 })
    , m_runner(
              m_outgoing,
              [this](const CallPlan &plan, const std::set<std::string> &excluded) {
                  return chooseNode(plan, excluded);
              },
              m_settings.m_replayBytes)
{
    const boost::asio::any_io_executor executor = context.get_executor();
    m_transport = std::make_unique<adapters::PeerTransport>(
            executor, transportSettings(m_settings, incarnation),
            [this](const adapters::PeerHandle &from, messages::Frame &&frame) {
                receive(from, std::move(frame));
            },
            [this](const adapters::PeerHandle &to, messages::Frame &&frame) {
                m_outgoing.undelivered(to, frame);
            });
    m_callers = std::make_unique<adapters::HttpListener>(
            executor, m_settings.m_callerAddress, m_settings.m_callerLimits,
            [this](adapters::HttpExchange &exchange) { return handleCaller(exchange); });
    m_local = std::make_unique<adapters::HttpListener>(
            executor, m_settings.m_localAddress, m_settings.m_localLimits,
            [this](adapters::HttpExchange &exchange) { return handleLocal(exchange); });
    m_operators = std::make_unique<adapters::HttpListener>(
            executor, m_settings.m_operatorAddress, m_settings.m_operatorLimits,
            [this](adapters::HttpExchange &exchange) { return handleOperator(*this, exchange); });
    boost::asio::co_spawn(context, pollConfiguration(), boost::asio::detached);
    boost::asio::co_spawn(context, sendHeartbeats(), boost::asio::detached);
}

Node::~Node()
{
    *m_running = false;
}

void Node::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    if (const auto *heartbeat = std::get_if<messages::Heartbeat>(&frame))
        m_members.receive(heartbeat->m_sender, std::chrono::steady_clock::now());
    else if (from.m_inbound)
        m_incoming.receive(from, std::move(frame));
    else
        m_outgoing.receive(from, std::move(frame));
}

std::optional<std::string> Node::chooseNode(const CallPlan &plan,
                                            const std::set<std::string> &excluded)
{
    const std::vector<std::string> candidates =
            m_members.candidates(plan.m_service, excluded, std::chrono::steady_clock::now());
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_random() % candidates.size()];
}

adapters::Task<> Node::handleCaller(adapters::HttpExchange &exchange)
{
    const model::RequestId id = newRequestId(m_random);
    EntryDecision decision = decideEntry(m_configuration.current().get(), m_settings.m_digestKey,
                                         exchange.request(), id, std::chrono::steady_clock::now());
    if (m_leaving)
        decision = RefusalReply{503, true, "leaving", std::chrono::milliseconds(200)};
    if (const auto *refusal = std::get_if<RefusalReply>(&decision))
        co_await sendRefusal(exchange, *refusal, id);
    else
        co_await m_runner.run(exchange, std::get<CallPlan>(std::move(decision)));
}

adapters::Task<> Node::handleLocal(adapters::HttpExchange &exchange)
{
    const adapters::HttpRequestHead &request = exchange.request();
    if (request.m_method == "POST" && request.m_target == "/backend/announce") {
        co_await handleAnnounce(exchange);
    } else if (request.m_method == "POST" && request.m_target == "/backend/leave") {
        m_backend.leave();
        m_members.updateOwn(m_members.own().m_service, 0, MemberState::Leaving);
        co_await sendJson(exchange, 200, "{}");
    } else {
        co_await handleNested(exchange);
    }
}

adapters::Task<> Node::handleNested(adapters::HttpExchange &exchange)
{
    const model::RequestId id = newRequestId(m_random);
    const std::shared_ptr<IncomingCall> parent =
            m_incoming.findByToken(std::string(exchange.request().field("Chervilmount-Context")));
    EntryDecision decision = decideNested(m_configuration.current().get(), parent.get(),
                                          exchange.request(), id, std::chrono::steady_clock::now());
    if (const auto *refusal = std::get_if<RefusalReply>(&decision)) {
        co_await sendRefusal(exchange, *refusal, parent ? parent->m_start.m_key.m_requestId : id);
        co_return;
    }
    const CallOutcome outcome =
            co_await m_runner.run(exchange, std::get<CallPlan>(std::move(decision)));
    if (parent)
        parent->m_extraAttempts += outcome.m_unusedExtraAttempts;
}

adapters::Task<> Node::handleAnnounce(adapters::HttpExchange &exchange)
{
    std::string text;
    if (co_await exchange.readWholeBody(text) != adapters::HttpExchange::BodyRead::Data) {
        co_await sendJson(exchange, 413, R"({"reason":"the body is too large or incomplete"})");
        co_return;
    }
    std::string problem;
    try {
        const Announcement announcement = parseAnnouncement(text);
        m_backend.announce(announcement, std::chrono::steady_clock::now());
        m_members.updateOwn(announcement.m_service, announcement.m_slots,
                            m_leaving ? MemberState::Leaving : MemberState::Serving);
    } catch (const std::exception &error) {
        problem = error.what();
    }
    if (problem.empty())
        co_await sendJson(exchange, 200, "{}");
    else
        co_await sendJson(exchange, 400, R"({"reason":"malformed announcement"})");
}

adapters::Task<> Node::pollConfiguration()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        co_await m_configurationStore.refresh();
        co_await adapters::sleepFor(m_settings.m_configurationPollInterval);
    }
}

adapters::Task<> Node::sendHeartbeats()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        if (m_members.own().m_state == static_cast<std::uint32_t>(MemberState::Serving)
            && m_backend.announced(std::chrono::steady_clock::now()) == nullptr)
            m_members.updateOwn(m_members.own().m_service, 0, MemberState::Joining);
        for (const std::string &peer : m_settings.m_peers) {
            if (peer != m_settings.m_advertisedAddress)
                m_transport->send({false, peer}, messages::Heartbeat{m_members.own()});
        }
        co_await adapters::sleepFor(m_settings.m_heartbeatInterval);
    }
}

void Node::stop()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_incoming.setLeaving();
    m_members.updateOwn(m_members.own().m_service, 0, MemberState::Leaving);
    m_callers->stopAccepting();
    boost::asio::co_spawn(m_context, drain(), boost::asio::detached);
}

adapters::Task<> Node::drain()
{
    while (m_incoming.active() > 0 || m_outgoing.active() > 0 || m_callers->activeRequests() > 0)
        co_await adapters::sleepFor(DrainInterval);
    co_await adapters::sleepFor(FlushTime);
    *m_running = false;
    m_callers->close();
    m_local->close();
    m_operators->close();
    m_transport->close();
    m_context.stop();
}

} // namespace chervilmount::node
