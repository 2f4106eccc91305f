/**
 * The membership package: the table of all nodes, the rings and bridges that connect them, failure
 * detection, flooding of changes, reconciliation and bootstrap. It does no input or output: step()
 * takes an event and the present time and returns messages and store operations as values.
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
