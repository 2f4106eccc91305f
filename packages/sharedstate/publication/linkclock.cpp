#include "sharedstate/publication/linkclock.h"

#include <algorithm>

namespace chervilmount::sharedstate {

namespace {

using Duration = std::chrono::steady_clock::duration;

/** Clock rates of two machines differ by up to 0.05 % each way. */
constexpr double RateMargin = 0.001;

} // namespace

void stampReceived(LinkClock &clock, const LinkStamp &stamp,
                   std::chrono::steady_clock::time_point now)
{
    const bool older = stamp.m_senderIncarnation < clock.m_peerIncarnation
            || (stamp.m_senderIncarnation == clock.m_peerIncarnation
                && stamp.m_sent <= clock.m_peerSent);
    if (older)
        return;
    clock.m_peerIncarnation = stamp.m_senderIncarnation;
    clock.m_peerSent = stamp.m_sent;
    clock.m_received = now;
}

LinkStamp makeStamp(const LinkClock &clock, std::uint64_t selfIncarnation,
                    std::chrono::steady_clock::time_point now)
{
    LinkStamp stamp;
    stamp.m_sent = now;
    stamp.m_senderIncarnation = selfIncarnation;
    stamp.m_echo = clock.m_peerSent;
    stamp.m_echoIncarnation = clock.m_peerIncarnation;
    stamp.m_hold = now - clock.m_received;
    return stamp;
}

std::optional<Duration> transitBound(const LinkStamp &stamp, std::uint64_t selfIncarnation,
                                     std::chrono::steady_clock::time_point now)
{
    if (stamp.m_echoIncarnation != selfIncarnation || stamp.m_echo > now)
        return std::nullopt;
    // The peer's clock may run faster, which makes the hold time look longer than it was.
    const Duration hold =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(
                    static_cast<double>(std::chrono::nanoseconds(stamp.m_hold).count())
                    * (1 - RateMargin)));
    return std::max(Duration(0), now - stamp.m_echo - hold);
}

} // namespace chervilmount::sharedstate
