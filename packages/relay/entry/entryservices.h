#pragma once

#include "relay/control/activepolicy.h"
#include "relay/control/loadexchange.h"
#include "relay/inbound/localgate.h"
#include "relay/link/mesh.h"
#include "relay/runtime/relaysettings.h"
#include "relay/store/sharedstore.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/telemetry/counters.h"
#include "relay/timers/timerqueue.h"
#include "routing/outlier/outlier.h"
#include "traffic/allotment/rateshare.h"
#include "traffic/retry/repeatbudget.h"
#include "traffic/retry/secondattempt.h"
#include "traffic/split/splitchooser.h"
#include "traffic/stop/stop.h"

#include <memory>
#include <random>
#include <unordered_set>

namespace chervilmount::relay {

class EntryCall;

/** Components of the node that entry calls use. All outlive the calls. */
struct EntryServices
{
    const RelaySettings &m_settings;
    TimerQueue &m_timers;
    ActivePolicy &m_policy;
    const SharedStore &m_store;
    LocalGate &m_gate;
    Mesh &m_mesh;
    Counters &m_counters;
    BoundedLog &m_log;
    traffic::RateShares &m_rates;
    LoadExchange &m_loads;
    traffic::RepeatBudget &m_repeats;
    traffic::SplitStates &m_splits;
    std::mt19937_64 &m_random;
    /** Shutdown state; during a shutdown each response closes its connection. */
    traffic::Stop m_stop;
    /** Outlier state of the local backend server; the mesh keeps that of the other nodes. */
    routing::OutlierState m_ownOutlier;
    /** Requests that have not ended. */
    std::unordered_set<std::shared_ptr<EntryCall>> m_calls;
};

} // namespace chervilmount::relay
