#include "node/runtime/nodeparts.h"

#include <utility>

namespace chervilmount::node {

namespace {

messages::MemberRecord ownRecord(const NodeSettings &settings, std::uint64_t incarnation)
{
    messages::MemberRecord record;
    record.m_failureDomain = settings.m_failureDomain;
    record.m_address = settings.m_advertisedAddress;
    record.m_incarnation = incarnation;
    return record;
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
    , m_members(ownRecord(m_settings, incarnation))
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
    for (const messages::MemberRecord &record :
         m_members.serving(service, std::chrono::steady_clock::now())) {
        routing::Member member;
        member.m_nodeId = record.m_address;
        member.m_slots = std::max(1, static_cast<int>(record.m_slots));
        if (record.m_failureDomain == m_settings.m_failureDomain)
            member.m_place = routing::Place::SameFailureDomain;
        else if (regionOf(m_configuration, record.m_failureDomain) == ownRegion)
            member.m_place = routing::Place::SameRegion;
        else
            member.m_place = routing::Place::OtherRegion;
        members.push_back(std::move(member));
    }
    return members;
}

EntryInput NodeParts::entryInput(const model::RequestId &id,
                                 std::chrono::steady_clock::time_point now) const
{
    return {m_configuration.current().get(), m_configuration.proofAge(now),
            m_settings.m_failureDomain, id, now};
}

} // namespace chervilmount::node
