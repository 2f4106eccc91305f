/**
 * The relay package: a node on a shared platform. It accepts requests from callers and from its
 * local backend server (entry), forwards them over links to other nodes (link), queues and runs
 * them at its local backend server (inbound), and tracks the policy, the members and the state of
 * the backend server (control). An adapter supplies what is specific to a platform: the names of
 * header fields, the store client and the parsers of policies and announcements.
 *
 * Dependencies: traffic, adapters.
 */
#pragma once

#include "relay/control/activepolicy.h"
#include "relay/control/announcement.h"
#include "relay/runtime/decisionsettings.h"
#include "relay/runtime/relaynode.h"
#include "relay/runtime/relaysettings.h"
#include "relay/store/noderow.h"
#include "relay/store/sharedstore.h"
