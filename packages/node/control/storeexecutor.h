#pragma once

#include "adapters/platform/platformclient.h"
#include "sharedstate/sharedstate.h"

namespace chervilmount::node {

/** Executes a store request of the sharedstate package on the platform's services. */
adapters::Task<sharedstate::StoreResult> performStoreRequest(adapters::PlatformClient &platform,
                                                             sharedstate::StoreRequest request);

} // namespace chervilmount::node
