/**
 * The routing package: route matching and load balancing. Free functions over plain structs; the
 * current time and the random generator are arguments. It performs no input or output.
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
