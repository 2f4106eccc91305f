#include "membership/member/memberrecord.h"

#include <array>
#include <tuple>
#include <xxhash.h>

namespace chervilmount::membership {

const char *toText(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Serving:
        return "serving";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "left";
    case MemberState::Failed:
        return "failed";
    }
    return "unknown";
}

bool supersedes(const MemberRecord &candidate, const MemberRecord &known)
{
    return std::tie(candidate.m_incarnation, candidate.m_version, candidate.m_state)
            > std::tie(known.m_incarnation, known.m_version, known.m_state);
}

std::uint64_t recordDigest(NodeKey key, std::uint64_t incarnation, std::uint32_t version,
                           MemberState state)
{
    const std::array<std::uint64_t, 3> words{
            key, incarnation, std::uint64_t{version} << 8 | static_cast<std::uint64_t>(state)};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace chervilmount::membership
