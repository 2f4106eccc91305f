/**
 * The node package: the sidecar process of each backend server. It accepts callers' requests
 * (entry), runs calls to its backend server (inbound), chooses nodes for calls to services
 * (outbound) and maintains the configuration, the member table and the leases (control).
 *
 * Dependencies: model, messages, adapters.
 */
#pragma once

#include "node/runtime/node.h"
#include "node/settings/nodesettings.h"
