/**
 * The sharedstate package: operations on the platform's store as values, once-only claims, leases,
 * fleet-wide rates and the publication of the configuration. It does no input or output: each
 * decision is a free function over plain structs that returns store requests and messages as
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
