/**
 * The membership package: the table of all nodes, the overlay of rings and bridges that connects
 * them, failure detection, flooding of changes, anti-entropy reconciliation and bootstrap. It
 * performs no input or output: step() takes an event and the current time and returns messages and
 * store operations as values.
 *
 * Dependencies: model, xxHash (node keys, ring order and digests).
 */
#pragma once

#include "membership/flood/floodstream.h"
#include "membership/link/linkclock.h"
#include "membership/member/memberrecord.h"
#include "membership/member/nodeid.h"
#include "membership/message/encodedsize.h"
#include "membership/message/payload.h"
#include "membership/ring/bridgeset.h"
#include "membership/ring/ringset.h"
#include "membership/step/effects.h"
#include "membership/step/event.h"
#include "membership/step/membershipsettings.h"
#include "membership/step/membershipstate.h"
#include "membership/step/queries.h"
#include "membership/step/step.h"
#include "membership/table/membertable.h"
