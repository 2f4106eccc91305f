#pragma once

#include "membership/message/payload.h"

#include <cstddef>

namespace chervilmount::membership {

/**
 * Returns the size in bytes of a message as a protobuf envelope, without framing of ZeroMQ and TCP.
 * Assumed encoding: one tag byte per field, fixed64 for keys, digests and incarnations, varints for
 * versions, slots, states and durations, a length byte or two per string and nested message,
 * default values left out; the envelope adds tag and length, and the sender's node id is sent once
 * per connection.
 */
std::size_t encodedSize(const Payload &payload);

/** Returns the size of one record inside a message. */
std::size_t encodedSize(const MemberRecord &record);

/** Bytes that ZeroMQ and TCP/IP add to a message that travels alone: 10 and 52. */
constexpr std::size_t TransportOverhead = 62;

} // namespace chervilmount::membership
