/**
 * The node package: the process beside each backend server. It takes callers' requests (entry),
 * runs the calls to its backend server (inbound), forwards nested calls (outbound) and keeps the
 * configuration and the member table (control).
 *
 * Dependencies: model, messages, adapters.
 */
#pragma once

#include "node/runtime/node.h"
#include "node/settings/nodesettings.h"
