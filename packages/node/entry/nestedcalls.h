#pragma once

#include "node/control/configurationstate.h"
#include "node/entry/callerrequests.h"
#include "node/inbound/incomingcalls.h"

namespace chervilmount::node {

/**
 * Plans a nested call of the backend server: restores the context of the call it belongs to.
 * @param parent the active call with the token, or null; its extra attempts are handed over in
 * part.
 */
EntryDecision decideNested(const ConfigurationVersion *configuration, IncomingCall *parent,
                           const adapters::HttpRequestHead &head, model::RequestId newId,
                           std::chrono::steady_clock::time_point now);

} // namespace chervilmount::node
