#include "membership/link/linkclock.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

std::chrono::microseconds sinceEpoch(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

} // namespace

LinkClock stamp(const PeerClock &peer, std::uint64_t ownIncarnation,
                std::chrono::steady_clock::time_point now)
{
    LinkClock clock;
    clock.m_incarnation = ownIncarnation;
    clock.m_sentAt = sinceEpoch(now);
    if (peer.m_newestSentAt) {
        clock.m_echo = peer.m_newestSentAt;
        clock.m_echoIncarnation = peer.m_incarnation;
        clock.m_hold =
                std::chrono::duration_cast<std::chrono::microseconds>(now - peer.m_receivedAt);
    }
    return clock;
}

void recordPeerClock(PeerClock &peer, const LinkClock &clock,
                     std::chrono::steady_clock::time_point now)
{
    if (clock.m_incarnation < peer.m_incarnation)
        return;
    const bool sameProcess = clock.m_incarnation == peer.m_incarnation && peer.m_newestSentAt;
    if (sameProcess && clock.m_sentAt < *peer.m_newestSentAt)
        return;
    peer.m_incarnation = clock.m_incarnation;
    peer.m_newestSentAt = clock.m_sentAt;
    peer.m_receivedAt = now;
}

std::optional<std::chrono::microseconds> transitBound(const LinkClock &clock,
                                                      std::uint64_t ownIncarnation,
                                                      std::chrono::steady_clock::time_point now)
{
    if (!clock.m_echo || clock.m_echoIncarnation != ownIncarnation)
        return std::nullopt;
    const std::chrono::microseconds passed = sinceEpoch(now) - *clock.m_echo;
    const std::chrono::microseconds bound = passed - clock.m_hold + passed / 1000;
    return std::max(bound, std::chrono::microseconds(0));
}

} // namespace chervilmount::membership
