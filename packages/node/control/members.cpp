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
    ++m_revision;
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
    if (std::pair(record.m_incarnation, record.m_version) != known)
        ++m_revision;
    member.m_record = record;
    member.m_lastHeard = now;
}

std::vector<messages::MemberRecord>
Members::serving(const std::string &service, std::chrono::steady_clock::time_point now) const
{
    const auto isServing = [&service](const messages::MemberRecord &record) {
        return record.m_state == static_cast<std::uint32_t>(MemberState::Serving)
                && record.m_service == service;
    };
    std::vector<messages::MemberRecord> records;
    if (isServing(m_own))
        records.push_back(m_own);
    for (const auto &[address, member] : m_members) {
        if (isServing(member.m_record) && now - member.m_lastHeard < SilenceLimit)
            records.push_back(member.m_record);
    }
    return records;
}

} // namespace chervilmount::node
