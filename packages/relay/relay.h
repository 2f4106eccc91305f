/**
 * The relay package: a node that serves on a shared platform. It takes requests of callers and of
 * the backend server beside it (entry), sends them over links to other nodes (link), queues and
 * runs them beside its own backend server (inbound), and keeps policy, members and backend server
 * up to date (control). What is the platform's own is supplied by an adapter: names of header
 * fields, the store's client and the parsers of policies and announcements.
 *
 * Dependencies: traffic, adapters.
 */
#pragma once

#include "relay/control/activepolicy.h"
#include "relay/control/announcement.h"
#include "relay/runtime/relaynode.h"
#include "relay/runtime/relaysettings.h"
#include "relay/store/noderow.h"
#include "relay/store/sharedstore.h"
