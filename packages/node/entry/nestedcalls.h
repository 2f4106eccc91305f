#pragma once

#include "node/entry/callerrequests.h"
#include "node/inbound/incomingcall.h"

namespace chervilmount::node {

/**
 * Decides on a nested call of the backend server and restores the context of its parent call.
 * @param parent the active call that the token identifies, or null.
 */
EntryDecision decideNested(const EntryInput &input, const IncomingCall *parent,
                           const adapters::HttpRequestHead &head);

} // namespace chervilmount::node
