#pragma once

#include "relay/control/loadexchange.h"
#include "relay/control/policykeeper.h"
#include "relay/inbound/localgate.h"
#include "relay/link/mesh.h"
#include "relay/runtime/relaysettings.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/telemetry/counters.h"
#include "relay/timers/timerqueue.h"
#include "traffic/allotment/rateshare.h"
#include "traffic/retry/repeatbudget.h"
#include "traffic/split/splitchooser.h"

#include <random>

namespace chervilmount::relay {

/** The parts of a node that requests use at their entry. All outlive the requests. */
struct EntryServices
{
    const RelaySettings &m_settings;
    TimerQueue &m_timers;
    PolicyKeeper &m_policy;
    LocalGate &m_gate;
    Mesh &m_mesh;
    Counters &m_counters;
    BoundedLog &m_log;
    traffic::RateShares &m_rates;
    LoadExchange &m_loads;
    traffic::RepeatBudget &m_repeats;
    traffic::SplitStates &m_splits;
    std::mt19937_64 &m_random;
    /** The process is being stopped: responses end their connections. */
    bool m_stopping = false;
    /** The process is about to end: callers' requests would be cut off. Nested calls of runs that
     * have begun are still taken. */
    bool m_refusesCallers = false;
};

} // namespace chervilmount::relay
