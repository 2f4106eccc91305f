#include "node/runtime/nodeparts.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

membership::MembershipSettings membershipSettings(const NodeSettings &settings)
{
    membership::MembershipSettings result;
    result.m_heartbeatInterval = settings.m_heartbeatInterval;
    // The failure domain of a configured peer is unknown until its first message.
    for (const std::string &peer : settings.m_peers) {
        if (peer != settings.m_advertisedAddress)
            result.m_peers.push_back({"", peer});
    }
    return result;
}

std::string regionOf(const ConfigurationState &configuration, const std::string &failureDomain)
{
    if (!configuration.current())
        return {};
    const model::FailureDomain *domain =
            configuration.current()->m_index.failureDomain(failureDomain);
    return domain == nullptr ? "" : domain->m_region;
}

} // namespace

NodeParts::NodeParts(boost::asio::io_context &context, NodeSettings settings,
                     std::uint64_t incarnation, std::uint64_t seed)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_digester(m_settings.m_digestKey)
    , m_platform(context.get_executor(), m_settings.m_platform)
    , m_configurationStore(m_platform, m_configuration)
    , m_membership(context.get_executor(), membershipSettings(m_settings),
                   {m_settings.m_failureDomain, m_settings.m_advertisedAddress}, incarnation,
                   m_platform, m_random,
                   [this](const std::string &address, const messages::Frame &frame) {
                       m_transport->send({false, address}, frame);
                   })
    , m_leases(context.get_executor(), m_platform, m_random,
               [this](const std::string &address, const messages::Frame &frame) {
                   m_transport->send({false, address}, frame);
               })
    , m_rates(context.get_executor(), m_leases, m_random, m_settings.m_failureDomain,
              m_settings.m_advertisedAddress,
              [this](const std::string &address, const messages::Frame &frame) {
                  m_transport->send({false, address}, frame);
              })
    , m_backend(context.get_executor(), m_settings.m_backendHeadBytes,
                m_settings.m_backendConnectTimeout)
    , m_incoming(context.get_executor(), m_backend, m_recorder, m_settings.m_incomingCalls,
                 [this](const adapters::PeerHandle &to, const messages::Frame &frame) {
                     return m_transport->send(to, frame);
                 })
    , m_outgoing(context.get_executor(),
                 [this](const adapters::PeerHandle &to, const messages::Frame &frame) {
                     return m_transport->send(to, frame);
                 })
    , m_router(m_settings.m_advertisedAddress,
               [this](const std::string &service) { return membersOf(service); })
    , m_runner(m_outgoing, m_router, m_recorder, m_random)
    , m_claims(context.get_executor(), m_platform, m_random)
{
}

std::vector<routing::Member> NodeParts::membersOf(const std::string &service) const
{
    const std::string ownRegion = regionOf(m_configuration, m_settings.m_failureDomain);
    std::vector<routing::Member> members;
    for (const membership::MemberRecord &record : m_membership.servingMembers(service)) {
        const std::string &domain = record.m_id.m_failureDomain;
        routing::Member member;
        member.m_nodeId = record.m_id.m_address;
        member.m_slots = std::max(1, static_cast<int>(record.m_slots));
        if (domain == m_settings.m_failureDomain)
            member.m_place = routing::Place::SameFailureDomain;
        else if (regionOf(m_configuration, domain) == ownRegion)
            member.m_place = routing::Place::SameRegion;
        else
            member.m_place = routing::Place::OtherRegion;
        members.push_back(std::move(member));
    }
    return members;
}

void NodeParts::refreshLeaseCandidates(std::chrono::steady_clock::time_point now)
{
    const membership::MembershipState &members = m_membership.state();
    // Until the member table of another node has been received, the own incarnation can still
    // increase.
    if (!membership::hasJoined(members) && !membership::isIsolated(members, now))
        return;
    LeaseCandidates all = rankLeaseCandidates(members, now);
    const std::string prefix = "rates/" + m_settings.m_failureDomain + "/";
    LeaseCandidates own;
    for (const LeaseCandidates::value_type &entry : all) {
        if (entry.first.starts_with(prefix))
            own.insert(entry);
    }
    m_leases.setCandidates({m_settings.m_advertisedAddress, members.m_self.m_incarnation}, own);
    m_rates.setCandidates(std::move(all));
}

std::size_t NodeParts::nodesInDomain() const
{
    const std::size_t present =
            m_membership.state().m_table.domain(m_settings.m_failureDomain).m_presentMembers;
    return std::max<std::size_t>(1, present);
}

EntryInput NodeParts::entryInput(const model::RequestId &id,
                                 std::chrono::steady_clock::time_point now) const
{
    return {m_configuration.current().get(),
            m_configuration.proofAge(now),
            m_settings.m_failureDomain,
            nodesInDomain(),
            id,
            now};
}

} // namespace chervilmount::node
