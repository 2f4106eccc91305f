#pragma once

#include "overload/names/nametable.h"
#include "relay/http/backendpool.h"
#include "relay/inbound/callresult.h"
#include "relay/runtime/relaysettings.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/telemetry/counters.h"
#include "relay/timers/timerqueue.h"
#include "traffic/dispatch/dispatchrecord.h"
#include "traffic/gate/gate.h"
#include "traffic/instance/instanceregister.h"
#include "traffic/lineage/lineage.h"
#include "traffic/placement/completionmeter.h"
#include "traffic/placement/relativehold.h"
#include "traffic/profile/callprofile.h"
#include "traffic/retry/repeatbudget.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace chervilmount::relay {

/** The run that made a nested call. */
struct ParentRun
{
    /** Number that LocalGate::run() has returned. */
    std::uint64_t m_run = 0;
    /** Identifier of the attempt. */
    std::string m_attempt;
    int m_priority = 0;
};

/**
 * Dispatches runs to the local backend server: limits their concurrency, queues or refuses the
 * excess and reports their results. No other class sends requests of callers to this backend
 * server.
 */
class LocalGate
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param bodies memory budget for all request and response bodies of the process. */
    LocalGate(boost::asio::io_context &context, TimerQueue &timers, const RelaySettings &settings,
              Counters &counters, BoundedLog &log, std::shared_ptr<BodyBudget> bodies);

    /** Starts to use this backend server, in place of an earlier one if there was one. */
    void useInstance(const traffic::InstanceAnnouncement &instance);

    /** Starts no further runs and refuses the queued ones as not run. */
    void stopNewRuns();

    /** @returns whether new runs of the service are accepted. */
    bool serves(const std::string &service) const;

    /**
     * Runs a call.
     * @returns the number for cancel(); the responder may have been called already.
     */
    std::uint64_t run(Call call, CallResponder responder);

    /** Cancels a run because its caller has disconnected. A queued run is removed, an idempotent
     * one that runs is aborted, any other one is left to finish. The responder is not called any
     * more.
     * @returns whether the request is known not to have run, and not to run later. */
    bool cancel(std::uint64_t run);

    /** @returns the run that has made a nested call with this deadline, if it is known. */
    std::optional<ParentRun> parentOf(TimePoint deadline) const;

    /** Counts a nested call of a run. */
    void recordNestedCall(std::uint64_t parent, const std::string &route);
    /** Counts a nested call whose run is not known. */
    void recordUnassignedCall(const std::string &route);

    traffic::TargetLoad load() const;
    const traffic::CallProfile &profile() const { return m_profile; }
    /** Decays the weight of earlier observations; to be called periodically. */
    void ageProfile(std::chrono::nanoseconds elapsed);
    /** Restores a profile that an earlier process has stored, unless runs have been observed since.
     */
    void restoreProfile(const traffic::CallProfile &profile);
    std::size_t activeRuns() const { return m_runs.size(); }
    std::uint64_t connectionsMade() const { return m_pool.connectionsMade(); }

    /** Requests the identity of the backend server; the callback gets nothing if the server is not
     * ready for work. */
    void checkStatus(const std::string &healthPath,
                     std::function<void(std::optional<traffic::InstanceAnnouncement>)> callback);

    /** Called when the backend server responds that it is not the expected instance, or when
     * connections to it fail in a row. */
    std::function<void()> m_onInstanceGone;
    /** Called when an answer of the backend server states that it is leaving. */
    std::function<void()> m_onInstanceLeaving;
    /** @returns the average time that a run of the route holds a slot, over all backend servers; 0
     * if unknown. */
    std::function<std::chrono::duration<double>(const std::string &route)> m_expectedHold;

private:
    struct Run
    {
        Call m_call;
        CallResponder m_responder;
        TimePoint m_deadline;
        TimePoint m_startedAt;
        /** Expected hold time of the route when the run started; 0 if unknown. */
        std::chrono::duration<double> m_expectedHold{0.0};
        /** When the request was last sent to the backend server. */
        TimePoint m_sentAt;
        /** Backend server to which it was sent. */
        std::string m_instance;
        /** Deadline that was sent to the backend server. */
        TimePoint m_forwardedDeadline;
        bool m_running = false;
        bool m_sent = false;
        bool m_resent = false;
        /** Sends of the request to the backend server. */
        traffic::DispatchRecord m_dispatches;
        TimerId m_timer = 0;
        std::shared_ptr<HttpClientConnection> m_connection;
        /** Nested calls that were matched to this run, by route. */
        traffic::CallCounts m_nestedCalls;
    };

    void start(std::uint64_t number);
    void connectRun(std::uint64_t number, bool newConnection);
    /** Counts attempts to connect; a backend server that cannot be reached is no longer used. */
    void recordConnect(bool connected);
    void send(std::uint64_t number, std::shared_ptr<HttpClientConnection> connection);
    HttpRequest backendRequest(const Run &run, TimePoint now) const;
    void exchangeEnded(std::uint64_t number, ExchangeResult result);
    bool mayResend(const Run &run);
    /** @returns the failure of a run, with what is known of whether it has run. */
    static CallResult failureOf(const Run &run, FailureReason reason);
    static CallResult classifyRefusal(Run &run, FailureReason reason);
    CallResult classifyResponse(Run &run, HttpResponse response);
    /** Takes over what an answer of the backend server states besides its result. */
    void readServerState(const Run &run, const HttpResponse &response, bool isSealed);
    void readRequestLimit(const Run &run, const HttpResponse &response, bool isSealed);
    void logRequestLimit(const Run &run, const std::string &limit);
    /** Starts waiting runs once the limit on requests permits it. */
    void scheduleNextStart();
    void refuseWaiting(std::uint64_t number, FailureReason reason);
    void handleTimeout(std::uint64_t number);
    /** Removes the run, frees its slot and starts the next ones. */
    void finish(std::uint64_t number, CallResult result);
    /** Updates the pace of the backend server when a run has ended. */
    void recordHold(const Run &run, const CallResult &result, std::chrono::nanoseconds held,
                    TimePoint now);
    /** @returns the pace of the backend server, including what the runs in progress show. */
    double relativeHold(TimePoint now) const;
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
    traffic::CompletionMeter m_completions;
    traffic::Gate m_gate;
    traffic::RepeatBudget m_resends;
    traffic::Lineage m_lineage;
    traffic::CallProfile m_profile;
    traffic::OpenCalls m_openCalls;
    traffic::ActiveRuns m_active;
    overload::NameTable m_organisations;
    std::optional<traffic::InstanceAnnouncement> m_instance;
    bool m_usable = false;
    /** Timer of scheduleNextStart(); 0 if none is set. */
    TimerId m_nextStartTimer = 0;
    /** Attempts to connect that have failed in a row. */
    int m_connectFailures = 0;
    std::uint64_t m_lastRun = 0;
    std::unordered_map<std::uint64_t, Run> m_runs;
};

} // namespace chervilmount::relay
