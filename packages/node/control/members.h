#pragma once

#include "messages/frames/frames.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::node {

/** State of a member, in the order of precedence for equal versions. */
enum class MemberState : std::uint32_t { Joining, Serving, Leaving, Left, Failed };

/** A member and when it was last heard of. */
struct Member
{
    messages::MemberRecord m_record;
    std::chrono::steady_clock::time_point m_lastHeard;
};

/** The nodes that this node knows of. */
class Members
{
public:
    /** @param own record of this node. */
    explicit Members(messages::MemberRecord own);

    /** Changes the own record and raises its version if it differs. */
    void updateOwn(const std::string &service, std::uint32_t slots, MemberState state);

    const messages::MemberRecord &own() const { return m_own; }

    /** Takes a record that a peer sent about itself. */
    void receive(const messages::MemberRecord &record, std::chrono::steady_clock::time_point now);

    /** @returns the serving members of a service that were heard of lately. */
    std::vector<messages::MemberRecord> serving(const std::string &service,
                                                std::chrono::steady_clock::time_point now) const;

    /** @returns a number that changes when a member appears or its record changes. */
    std::uint64_t revision() const { return m_revision; }

    const std::map<std::string, Member> &all() const { return m_members; }

private:
    messages::MemberRecord m_own;
    std::uint64_t m_revision = 0;
    std::map<std::string, Member> m_members;
};

} // namespace chervilmount::node
