#pragma once

#include "membership/member/nodeid.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chervilmount::membership {

/** States in ascending precedence at equal incarnation and version. */
enum class MemberState : std::uint8_t {
    Joining,
    Serving,
    Leaving,
    Left,
    Failed,
};

/** Replicated record of one node. */
struct MemberRecord
{
    NodeId m_id;
    /** Start time of the process in milliseconds since the epoch, or higher. @see applyRecord() */
    std::uint64_t m_incarnation = 0;
    /** Incremented by the node itself with each change of its record. */
    std::uint32_t m_version = 0;
    MemberState m_state = MemberState::Joining;
    /** Service of the backend server beside the node; empty until it has announced itself. */
    std::string m_service;
    std::uint32_t m_slots = 0;
    /** Time since the member was recorded as left or failed; 0 in other states. */
    std::chrono::seconds m_endedFor{0};

    bool operator==(const MemberRecord &) const = default;
};

/** Returns true for joining, serving and leaving members: those that take part in the rings. */
constexpr bool isPresent(MemberState state)
{
    return state < MemberState::Left;
}

/** Returns the state's name in lower case, for logs and operators. */
const char *toText(MemberState state);

/** Returns true if the first record is newer by (incarnation, version, state order). */
bool supersedes(const MemberRecord &candidate, const MemberRecord &known);

/** Returns the contribution of a present member to its failure domain's digest. */
std::uint64_t recordDigest(NodeKey key, std::uint64_t incarnation, std::uint32_t version,
                           MemberState state);

} // namespace chervilmount::membership
