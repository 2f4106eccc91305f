#pragma once

#include "messages/frames/frames.h"

#include <optional>

namespace chervilmount::wire {
class SharedStateMessage;
}

namespace chervilmount::messages {

/** Writes a message about leases or rate grants. */
void writeSharedState(const SharedStateMessage &message, wire::SharedStateMessage &out);

/** @returns the message, or nothing if a value is out of range. */
std::optional<SharedStateMessage> readSharedState(const wire::SharedStateMessage &in);

} // namespace chervilmount::messages
