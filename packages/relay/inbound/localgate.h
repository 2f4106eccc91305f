#pragma once

#include "overload/names/nametable.h"
#include "relay/http/backendpool.h"
#include "relay/inbound/callresult.h"
#include "relay/runtime/relaysettings.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/telemetry/counters.h"
#include "relay/timers/timerqueue.h"
#include "traffic/gate/gate.h"
#include "traffic/instance/instanceregister.h"
#include "traffic/lineage/lineage.h"
#include "traffic/placement/relativehold.h"
#include "traffic/profile/callprofile.h"
#include "traffic/retry/repeatbudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace chervilmount::relay {

/** A run that a nested call belongs to. */
struct ParentRun
{
    /** Number of the run at the gate. */
    std::uint64_t m_run = 0;
    /** Identifier of the attempt. */
    std::string m_attempt;
    int m_priority = 0;
};

/**
 * The only sender of work to the backend server beside the node: queues runs, sends them and tells
 * what became of them.
 */
class LocalGate
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param bodies bound of all bodies of the process. */
    LocalGate(boost::asio::io_context &context, TimerQueue &timers, const RelaySettings &settings,
              Counters &counters, BoundedLog &log, std::shared_ptr<BodyBudget> bodies);

    /** Takes the backend server into use, or another one in its place. */
    void useInstance(const traffic::InstanceAnnouncement &instance);

    /** Starts no further runs; those that wait are refused as not run. */
    void stopNewRuns();

    /** @returns whether new runs of the service are taken. */
    bool serves(const std::string &service) const;

    /**
     * Runs a call.
     * @returns the number for cancel(); the responder may have been called already.
     */
    std::uint64_t run(Call call, CallResponder responder);

    /** The caller has gone: a waiting run is dropped, an idempotent one at the backend server is
     * broken off. The responder is not called any more. */
    void cancel(std::uint64_t run);

    /** @returns the run that a nested call with this deadline was made by, if it is known. */
    std::optional<ParentRun> parentOf(TimePoint deadline) const;

    /** Counts a nested call of a run. */
    void recordNestedCall(std::uint64_t parent, const std::string &route);
    /** Counts a nested call whose run is not known. */
    void recordUnassignedCall(const std::string &route);

    traffic::TargetLoad load() const;
    const traffic::CallProfile &profile() const { return m_profile; }
    /** Lets what was observed earlier count less; to be called about every second. */
    void ageProfile(std::chrono::nanoseconds elapsed);
    /** Takes over a profile from before the start, unless there is a new one. */
    void restoreProfile(const traffic::CallProfile &profile);
    std::size_t activeRuns() const { return m_runs.size(); }
    std::uint64_t connectionsMade() const { return m_pool.connectionsMade(); }

    /** Asks the backend server for its identity; the callback gets it if it can get work. */
    void checkStatus(const std::string &healthPath,
                     std::function<void(std::optional<traffic::InstanceAnnouncement>)> callback);

    /** Called when the backend server says that another one has taken its place. */
    std::function<void()> m_onInstanceGone;
    /** @returns the average time that runs of a route hold a slot, at all backend servers; 0 if
     * unknown. */
    std::function<std::chrono::duration<double>(const std::string &route)> m_expectedHold;

private:
    struct Run
    {
        Call m_call;
        CallResponder m_responder;
        TimePoint m_deadline;
        TimePoint m_startedAt;
        /** When it was last sent to the backend server. */
        TimePoint m_sentAt;
        /** Deadline that was handed to the backend server. */
        TimePoint m_handedDeadline;
        bool m_running = false;
        bool m_sent = false;
        bool m_resent = false;
        TimerId m_timer = 0;
        std::shared_ptr<HttpClientConnection> m_connection;
        /** Calls that are known to be made by this run. */
        traffic::CallCounts m_nestedCalls;
    };

    void start(std::uint64_t number);
    void connectRun(std::uint64_t number, bool newConnection);
    void send(std::uint64_t number, std::shared_ptr<HttpClientConnection> connection);
    HttpRequest backendRequest(const Run &run, TimePoint now) const;
    void ended(std::uint64_t number, ExchangeResult result);
    bool mayResend(const Run &run);
    CallResult judge(const Run &run, HttpResponse response);
    void refuseWaiting(std::uint64_t number, FailureReason reason);
    void timedOut(std::uint64_t number);
    /** Removes the run, frees its slot and starts the next ones. */
    void finish(std::uint64_t number, CallResult result);
    void startWaiting();
    void respond(Run &run, CallResult result);
    void logFailure(const Run &run, const Failure &failure);
    void logBrokenExchange(const Run &run, const std::string &problem);

    TimerQueue &m_timers;
    const RelaySettings &m_settings;
    Counters &m_counters;
    BoundedLog &m_log;
    BackendPool m_pool;
    traffic::RelativeHold m_relativeHold;
    traffic::Gate m_gate;
    traffic::RepeatBudget m_resends;
    traffic::Lineage m_lineage;
    traffic::CallProfile m_profile;
    traffic::OpenCalls m_openCalls;
    traffic::ActiveRuns m_active;
    overload::NameTable m_organisations;
    std::optional<traffic::InstanceAnnouncement> m_instance;
    bool m_usable = false;
    std::uint64_t m_lastRun = 0;
    std::unordered_map<std::uint64_t, Run> m_runs;
};

} // namespace chervilmount::relay
