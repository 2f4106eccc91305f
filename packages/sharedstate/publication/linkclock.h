#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilmount::sharedstate {

/** What each heartbeat and freshness word carries so that its receiver can bound its transit time.
 */
struct LinkStamp
{
    /** The sender's clock when the message was made. */
    std::chrono::steady_clock::time_point m_sent;
    std::uint64_t m_senderIncarnation = 0;
    /** The receiver's own clock as it came with its last message; in m_echoIncarnation. */
    std::chrono::steady_clock::time_point m_echo;
    /** Incarnation of the receiver that sent m_echo; 0 if nothing was received yet. */
    std::uint64_t m_echoIncarnation = 0;
    /** Time from the receipt of m_echo to m_sent. */
    std::chrono::steady_clock::duration m_hold{0};
};

/** What a node remembers of a peer to fill in stamps. */
struct LinkClock
{
    std::chrono::steady_clock::time_point m_peerSent;
    std::uint64_t m_peerIncarnation = 0;
    std::chrono::steady_clock::time_point m_received;
};

/** Takes note of a stamp from a peer; older stamps of the same incarnation are ignored. */
void stampReceived(LinkClock &clock, const LinkStamp &stamp,
                   std::chrono::steady_clock::time_point now);

/** @returns the stamp for a message that is made now. */
LinkStamp makeStamp(const LinkClock &clock, std::uint64_t selfIncarnation,
                    std::chrono::steady_clock::time_point now);

/**
 * Bounds the time from the making of a message to now, in terms of the receiver's clock only. It
 * contains the way of the echoed message too, and any pause of the sender after making the stamp.
 * @returns the bound, or nothing if the stamp has no echo of this incarnation.
 */
std::optional<std::chrono::steady_clock::duration>
transitBound(const LinkStamp &stamp, std::uint64_t selfIncarnation,
             std::chrono::steady_clock::time_point now);

} // namespace chervilmount::sharedstate
