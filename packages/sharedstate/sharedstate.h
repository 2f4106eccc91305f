/**
 * The sharedstate package: store operations as values, idempotency claims for once-only calls,
 * leases, fleet-wide rate limits and configuration publication. It performs no input or output:
 * free functions handle events on plain state structs and return store requests and messages as
 * effects.
 *
 * Dependencies: model, Boost.JSON (row values), OpenSSL (base64).
 */
#pragma once

#include "sharedstate/claims/claimrelay.h"
#include "sharedstate/claims/claimstep.h"
#include "sharedstate/lease/leasestep.h"
#include "sharedstate/publication/configurationcopy.h"
#include "sharedstate/rates/rateentry.h"
#include "sharedstate/rates/rateshares.h"
#include "sharedstate/store/storeoperation.h"
#include "sharedstate/store/storeresult.h"
