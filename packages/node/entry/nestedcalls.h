#pragma once

#include "node/entry/callerrequests.h"
#include "node/inbound/incomingcall.h"

namespace chervilmount::node {

/**
 * Plans a nested call of the backend server: restores the context of the call it belongs to.
 * @param parent the active call with the token, or null.
 */
EntryDecision decideNested(const EntryInput &input, const IncomingCall *parent,
                           const adapters::HttpRequestHead &head);

} // namespace chervilmount::node
