#include "node/control/members.h"

#include <utility>

namespace chervilmount::node {

namespace {

// A node that has sent no heartbeat for this time is not chosen.
constexpr std::chrono::seconds SilenceLimit{4};

} // namespace

Members::Members(messages::MemberRecord own)
    : m_own(std::move(own))
{
}

void Members::updateOwn(const std::string &service, std::uint32_t slots, MemberState state)
{
    const auto stateNumber = static_cast<std::uint32_t>(state);
    if (m_own.m_service == service && m_own.m_slots == slots && m_own.m_state == stateNumber)
        return;
    m_own.m_service = service;
    m_own.m_slots = slots;
    m_own.m_state = stateNumber;
    ++m_own.m_version;
}

void Members::receive(const messages::MemberRecord &record,
                      std::chrono::steady_clock::time_point now)
{
    if (record.m_address == m_own.m_address)
        return;
    Member &member = m_members[record.m_address];
    const auto known = std::pair(member.m_record.m_incarnation, member.m_record.m_version);
    if (std::pair(record.m_incarnation, record.m_version) < known)
        return;
    member.m_record = record;
    member.m_lastHeard = now;
}

std::vector<std::string> Members::candidates(const std::string &service,
                                             const std::set<std::string> &excluded,
                                             std::chrono::steady_clock::time_point now) const
{
    const auto serving = static_cast<std::uint32_t>(MemberState::Serving);
    std::vector<std::string> addresses;
    if (m_own.m_state == serving && m_own.m_service == service
        && !excluded.contains(m_own.m_address))
        addresses.push_back(m_own.m_address);
    for (const auto &[address, member] : m_members) {
        if (member.m_record.m_state == serving && member.m_record.m_service == service
            && now - member.m_lastHeard < SilenceLimit && !excluded.contains(address))
            addresses.push_back(address);
    }
    return addresses;
}

} // namespace chervilmount::node
