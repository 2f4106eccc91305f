/**
 * The traffic package: traffic management decisions of a node. Route and organisation lookup,
 * admission control for call trees, load balancing, queueing for a backend server, retries, and
 * distributed rate limits of organisations. It performs no input or output; the current time is an
 * argument of each decision.
 *
 * Dependencies: model, overload, routing.
 */
#pragma once

#include "traffic/allotment/rateshare.h"
#include "traffic/allotment/rateview.h"
#include "traffic/dial/dialschedule.h"
#include "traffic/dispatch/dispatchrecord.h"
#include "traffic/follow/policyfeed.h"
#include "traffic/follow/policyfollower.h"
#include "traffic/gate/gate.h"
#include "traffic/instance/instanceregister.h"
#include "traffic/lineage/lineage.h"
#include "traffic/placement/completionmeter.h"
#include "traffic/placement/placement.h"
#include "traffic/placement/relativehold.h"
#include "traffic/policy/policyindex.h"
#include "traffic/profile/callprofile.h"
#include "traffic/requestlimit/requestlimit.h"
#include "traffic/retry/repeatbudget.h"
#include "traffic/retry/secondattempt.h"
#include "traffic/split/splitchooser.h"
#include "traffic/start/startwait.h"
#include "traffic/stop/stop.h"
#include "traffic/storeera/storeera.h"
#include "traffic/treeadmission/treeadmission.h"
