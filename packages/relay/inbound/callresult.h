#pragma once

#include "relay/frames/frames.h"

#include <functional>
#include <variant>

namespace chervilmount::relay {

/** How a call ended: the backend server's whole response, or the reason why there is none. */
using CallResult = std::variant<Answer, Failure>;

/** Gets the end of a call, once. */
using CallResponder = std::function<void(CallResult)>;

} // namespace chervilmount::relay
