#pragma once

#include "relay/frames/frames.h"

#include <functional>
#include <variant>

namespace chervilmount::relay {

/** Result of a call: the backend server's complete response, or the reason for its absence. */
using CallResult = std::variant<Answer, Failure>;

/** Receives the result of a call; called at most once. */
using CallResponder = std::function<void(CallResult)>;

} // namespace chervilmount::relay
