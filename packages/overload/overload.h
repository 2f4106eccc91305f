/**
 * The overload package: admission control, load shedding and retries. Free functions over plain
 * structs; the current time and the random generator are arguments. It performs no input or output.
 *
 * Dependencies: model, xxHash.
 */
#pragma once

#include "overload/admission/admission.h"
#include "overload/admission/admissionqueue.h"
#include "overload/deadline/deadline.h"
#include "overload/limit/concurrencylimit.h"
#include "overload/names/nametable.h"
#include "overload/rank/rank.h"
#include "overload/reason/reason.h"
#include "overload/retry/attemptallowance.h"
#include "overload/retry/retrybudget.h"
#include "overload/retry/retrydecision.h"
#include "overload/threshold/carriedthreshold.h"
#include "overload/threshold/ownthreshold.h"
