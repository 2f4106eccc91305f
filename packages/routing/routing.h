/**
 * The routing package: matches requests to routes and chooses the backend server for a call. Free
 * functions over plain structs; the present time and the randomness are arguments. It does no
 * input or output.
 *
 * Dependencies: model, overload, xxHash.
 */
#pragma once

#include "routing/choice/candidate.h"
#include "routing/choice/choice.h"
#include "routing/link/linkbudget.h"
#include "routing/match/routematch.h"
#include "routing/outlier/outlier.h"
#include "routing/rendezvous/rendezvous.h"
#include "routing/subset/subset.h"
