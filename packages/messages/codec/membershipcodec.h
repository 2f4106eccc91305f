#pragma once

#include "messages/frames/frames.h"

#include <optional>

namespace chervilmount::wire {
class MembershipMessage;
}

namespace chervilmount::messages {

/** Writes a message of the membership protocol. */
void writeMembership(const MembershipMessage &message, wire::MembershipMessage &out);

/** @returns the message, or nothing if a value is out of range. */
std::optional<MembershipMessage> readMembership(const wire::MembershipMessage &in);

} // namespace chervilmount::messages
