#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilmount::membership {

/** Clock fields of a message on a link between two nodes; the clocks need not agree. */
struct LinkClock
{
    /** The sender's incarnation. */
    std::uint64_t m_incarnation = 0;
    /** The sender's own clock when it sent the message. */
    std::chrono::microseconds m_sentAt{0};
    /** The newest m_sentAt that the sender had received from the receiver, if any. */
    std::optional<std::chrono::microseconds> m_echo;
    /** Incarnation of the receiver that the echo belongs to. */
    std::uint64_t m_echoIncarnation = 0;
    /** Time from receiving the echoed message to sending this one. */
    std::chrono::microseconds m_hold{0};
};

/** The last clock fields received from a peer. */
struct PeerClock
{
    std::uint64_t m_incarnation = 0;
    std::optional<std::chrono::microseconds> m_newestSentAt;
    std::chrono::steady_clock::time_point m_receivedAt;
};

/** Returns the clock fields for a message that is sent to the peer now. */
LinkClock stamp(const PeerClock &peer, std::uint64_t ownIncarnation,
                std::chrono::steady_clock::time_point now);

/** Records the clock fields of a message received from the peer; older ones are ignored. */
void recordPeerClock(PeerClock &peer, const LinkClock &clock,
                     std::chrono::steady_clock::time_point now);

/**
 * Returns an upper bound of the message's transit time: the round trip time without the hold time,
 * plus 0.1 % of the elapsed time for clock drift. Empty if the message has no echo, or echoes an
 * earlier process at the receiver's address, whose clock is not comparable.
 */
std::optional<std::chrono::microseconds> transitBound(const LinkClock &clock,
                                                      std::uint64_t ownIncarnation,
                                                      std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
