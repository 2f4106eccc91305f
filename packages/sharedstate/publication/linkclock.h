#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilmount::sharedstate {

/**
 * Timestamps carried by each heartbeat and freshness attestation, from which the receiver computes
 * an upper bound of the transit time.
 */
struct LinkStamp
{
    /** The sender's clock when the message was made. */
    std::chrono::steady_clock::time_point m_sent;
    std::uint64_t m_senderIncarnation = 0;
    /** The receiver's m_sent from its last message, in the incarnation m_echoIncarnation. */
    std::chrono::steady_clock::time_point m_echo;
    /** Incarnation of the receiver that sent m_echo; 0 if nothing was received yet. */
    std::uint64_t m_echoIncarnation = 0;
    /** Time from the receipt of m_echo to m_sent. */
    std::chrono::steady_clock::duration m_hold{0};
};

/** Timestamps kept per peer for filling in stamps. */
struct LinkClock
{
    std::chrono::steady_clock::time_point m_peerSent;
    std::uint64_t m_peerIncarnation = 0;
    std::chrono::steady_clock::time_point m_received;
};

/** Records a stamp from a peer; stamps older than the last one are ignored. */
void stampReceived(LinkClock &clock, const LinkStamp &stamp,
                   std::chrono::steady_clock::time_point now);

/** @returns the stamp for a message created now. */
LinkStamp makeStamp(const LinkClock &clock, std::uint64_t selfIncarnation,
                    std::chrono::steady_clock::time_point now);

/**
 * Computes an upper bound of the time since a message was created, using the receiver's clock only.
 * The bound includes the transit time of the echoed message and any pause of the sender after it
 * made the stamp.
 * @returns the bound, or nothing if the stamp has no echo of this incarnation.
 */
std::optional<std::chrono::steady_clock::duration>
transitBound(const LinkStamp &stamp, std::uint64_t selfIncarnation,
             std::chrono::steady_clock::time_point now);

} // namespace chervilmount::sharedstate
