#include "relay/inbound/localgate.h"

#include "relay/http/timedexchange.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace chervilmount::relay {

namespace http = boost::beast::http;

namespace {

/** Grace time after the forwarded deadline in which the backend server's own response may arrive.
 */
constexpr std::chrono::milliseconds ResponseMargin{150};
/** Runs with less time left are refused, since the backend server could not finish them in time. */
constexpr std::chrono::milliseconds MinRunTime{5};
constexpr std::chrono::milliseconds StatusCheckTimeout{400};
/** Failed attempts to connect in a row after which the backend server is no longer used. */
constexpr int ConnectFailuresUntilGone = 2;
/** A stale connection, which the backend server has closed or dropped, is reset within this time of
 * the send. Long enough for a busy machine, too short for a run to get far. */
constexpr std::chrono::milliseconds StaleResetWindow{50};

using Milliseconds = std::chrono::milliseconds;

Milliseconds millisecondsUntil(std::chrono::steady_clock::time_point time,
                               std::chrono::steady_clock::time_point now)
{
    return std::max(Milliseconds{0}, std::chrono::floor<Milliseconds>(time - now));
}

/** @returns the value of the first of the fields that is present, or nothing. A field that is
 * present with several values gives an empty text. */
std::optional<std::string> uniqueValue(const HttpResponse &response,
                                       const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        const auto [first, last] = response.equal_range(name);
        if (first == last)
            continue;
        const auto value = first->value();
        const bool isUnique = std::all_of(
                first, last, [&value](const auto &field) { return field.value() == value; });
        return isUnique ? std::string(value) : std::string();
    }
    return std::nullopt;
}

/** @returns the third number of "running,waiting,slots", or 0. */
int slotsOf(std::string_view load)
{
    const std::size_t comma = load.rfind(',');
    if (comma == std::string_view::npos)
        return 0;
    return static_cast<int>(std::max<std::int64_t>(0, parseNumber(load.substr(comma + 1))));
}

} // namespace

LocalGate::LocalGate(boost::asio::io_context &context, TimerQueue &timers,
                     const RelaySettings &settings, Counters &counters, BoundedLog &log,
                     std::shared_ptr<BodyBudget> bodies)
    : m_timers(timers)
    , m_settings(settings)
    , m_counters(counters)
    , m_log(log)
    , m_pool(context, timers, settings.m_headers.m_attempt, settings.m_backendPool,
             std::move(bodies))
{
    m_gate.m_settings = settings.m_gate;
    m_resends.m_settings = settings.m_resends;
    m_pool.setAddress(settings.m_backendAddress);
}

void LocalGate::useInstance(const traffic::InstanceAnnouncement &instance)
{
    if (!m_instance || m_instance->m_id != instance.m_id
        || m_instance->m_startedAt != instance.m_startedAt) {
        m_pool.clear();
        m_gate.m_holdSeconds = 0.0;
        m_relativeHold = {};
        m_completions.m_expected = m_completions.m_completed = 0.0;
        m_gate.m_requestLimit = {};
    }
    m_pool.setAddress(instance.m_address);
    m_connectFailures = 0;
    m_instance = instance;
    m_gate.m_slots = instance.m_slots;
    m_usable = true;
    startWaiting();
}

void LocalGate::stopNewRuns()
{
    m_usable = false;
    std::vector<std::uint64_t> waiting;
    for (const auto &[number, run] : m_runs) {
        if (!run.m_running)
            waiting.push_back(number);
    }
    for (const std::uint64_t number : waiting)
        refuseWaiting(number, FailureReason::Unavailable);
}

bool LocalGate::serves(const std::string &service) const
{
    return m_usable && m_instance && m_instance->m_service == service;
}

std::uint64_t LocalGate::run(Call call, CallResponder responder)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::uint64_t number = ++m_lastRun;
    Run run;
    run.m_deadline = now + call.m_remaining;
    run.m_call = std::move(call);
    run.m_responder = std::move(responder);
    const bool served = serves(run.m_call.m_service);
    traffic::ArrivingRun arriving;
    arriving.m_run = number;
    arriving.m_priority = run.m_call.m_priority;
    arriving.m_nested = run.m_call.m_nested;
    arriving.m_organisation = overload::numberOf(m_organisations, run.m_call.m_organisation);
    arriving.m_targetLatency = run.m_call.m_targetLatency;
    arriving.m_deadline = run.m_deadline - MinRunTime;
    traffic::GateDecision decision;
    if (served)
        decision = traffic::arriveAtGate(m_gate, arriving, now);
    if (decision.m_verdict == traffic::GateVerdict::Refuse) {
        ++m_counters.m_runsRefused;
        Failure failure{run.m_call.m_id, true, false,
                        served ? FailureReason::Overloaded : FailureReason::Unavailable, load()};
        logFailure(run, failure);
        respond(run, failure);
        return number;
    }
    if (decision.m_verdict == traffic::GateVerdict::Wait)
        run.m_timer = m_timers.add(decision.m_waitUntil, [this, number] {
            refuseWaiting(number, FailureReason::Overloaded);
        });
    m_runs.emplace(number, std::move(run));
    if (decision.m_verdict == traffic::GateVerdict::Start)
        start(number);
    else
        scheduleNextStart();
    return number;
}

bool LocalGate::cancel(std::uint64_t number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return false;
    Run &run = found->second;
    run.m_responder = nullptr;
    if (!run.m_running) {
        traffic::removeWaiting(m_gate, number);
        m_timers.cancel(run.m_timer);
        m_runs.erase(found);
        return true;
    }
    const bool mayHaveRun = traffic::mayHaveRun(run.m_dispatches);
    // A run that is not idempotent is left to finish: it cannot be retried.
    if (mayHaveRun && !run.m_call.m_idempotent)
        return false;
    if (run.m_connection)
        run.m_connection->close();
    finish(number, failureOf(run, FailureReason::Broken));
    return !mayHaveRun;
}

std::optional<ParentRun> LocalGate::parentOf(TimePoint deadline) const
{
    const std::optional<std::uint64_t> number = traffic::findRun(m_lineage, deadline);
    if (!number)
        return std::nullopt;
    const auto found = m_runs.find(*number);
    if (found == m_runs.end())
        return std::nullopt;
    const Call &call = found->second.m_call;
    return ParentRun{*number, call.m_attempt, call.m_priority};
}

void LocalGate::recordNestedCall(std::uint64_t parent, const std::string &route)
{
    const auto found = m_runs.find(parent);
    if (found != m_runs.end())
        found->second.m_nestedCalls[route] += 1.0;
}

void LocalGate::recordUnassignedCall(const std::string &route)
{
    traffic::recordUnassignedCall(m_openCalls, m_profile, m_active, route);
}

void LocalGate::ageProfile(std::chrono::nanoseconds elapsed)
{
    traffic::ageProfile(m_profile, elapsed);
}

void LocalGate::restoreProfile(const traffic::CallProfile &profile)
{
    if (m_profile.empty())
        m_profile = profile;
}

traffic::TargetLoad LocalGate::load() const
{
    traffic::TargetLoad load;
    const TimePoint now = std::chrono::steady_clock::now();
    load.m_limit = m_usable ? traffic::gateCapacity(m_gate) : 0;
    load.m_running = m_gate.m_running;
    // Other nodes use the other backend servers while this one takes no request.
    if (traffic::timeOfRequests(m_gate.m_requestLimit, 1.0, now) > now)
        load.m_running = std::max(load.m_running, load.m_limit);
    load.m_waiting = static_cast<int>(m_gate.m_queue.m_size);
    load.m_holdSeconds = m_gate.m_holdSeconds;
    load.m_relativeHold = relativeHold(now);
    return load;
}

double LocalGate::relativeHold(TimePoint now) const
{
    if (!traffic::completesTooFew(m_relativeHold, m_completions, now))
        return m_relativeHold.m_value;
    double longest = 0.0;
    for (const auto &[number, run] : m_runs) {
        if (run.m_running && run.m_expectedHold.count() > 0)
            longest = std::max(longest, (now - run.m_startedAt) / run.m_expectedHold);
    }
    return traffic::currentRelativeHold(m_relativeHold, m_completions, longest, now);
}

void LocalGate::checkStatus(
        const std::string &healthPath,
        std::function<void(std::optional<traffic::InstanceAnnouncement>)> callback)
{
    m_pool.acquire(
            true,
            [this, healthPath,
             callback = std::move(callback)](std::shared_ptr<HttpClientConnection> connection) {
                if (!connection) {
                    callback(std::nullopt);
                    return;
                }
                HttpRequest request;
                request.version(11);
                request.method(http::verb::get);
                request.target({healthPath.data(), healthPath.size()});
                request.set(http::field::host, m_settings.m_backendAddress);
                // The connection owns this callback, so a reference to it would keep both alive.
                exchangeUntil(m_timers, std::chrono::steady_clock::now() + StatusCheckTimeout,
                              connection, std::move(request), {},
                              [this, checked = std::weak_ptr<HttpClientConnection>(connection),
                               callback](const ExchangeResult &result) {
                                  if (std::shared_ptr<HttpClientConnection> used = checked.lock())
                                      m_pool.release(std::move(used));
                                  traffic::InstanceAnnouncement instance;
                                  instance.m_id = fieldValue(result.m_response,
                                                             m_settings.m_headers.m_instance);
                                  instance.m_slots = slotsOf(fieldValue(
                                          result.m_response, m_settings.m_headers.m_load));
                                  instance.m_service = m_settings.m_service;
                                  instance.m_address = m_settings.m_backendAddress;
                                  const bool usable = result.m_status == ExchangeStatus::Answered
                                          && result.m_response.result() == http::status::ok
                                          && !instance.m_id.empty() && instance.m_slots > 0;
                                  callback(usable ? std::make_optional(std::move(instance))
                                                  : std::nullopt);
                              });
            });
}

void LocalGate::start(std::uint64_t number)
{
    Run &run = m_runs.at(number);
    const TimePoint now = std::chrono::steady_clock::now();
    run.m_running = true;
    run.m_startedAt = now;
    if (m_expectedHold)
        run.m_expectedHold = m_expectedHold(run.m_call.m_route);
    traffic::startMeteredRun(m_completions, run.m_expectedHold, now);
    ++m_active[run.m_call.m_route];
    m_timers.cancel(run.m_timer);
    run.m_forwardedDeadline = traffic::enterRun(m_lineage, number, run.m_deadline);
    run.m_timer = m_timers.add(run.m_deadline + ResponseMargin,
                               [this, number] { handleTimeout(number); });
    // On a used connection nothing tells a late answer from that to a request without an
    // identifier.
    connectRun(number, run.m_call.m_attempt.empty());
}

void LocalGate::connectRun(std::uint64_t number, bool newConnection)
{
    m_pool.acquire(newConnection, [this, number](std::shared_ptr<HttpClientConnection> connection) {
        recordConnect(connection != nullptr);
        const auto found = m_runs.find(number);
        if (found == m_runs.end()) {
            if (connection)
                m_pool.release(std::move(connection));
            return;
        }
        if (!connection) {
            finish(number, failureOf(found->second, FailureReason::Unavailable));
            return;
        }
        send(number, std::move(connection));
    });
}

void LocalGate::recordConnect(bool connected)
{
    if (connected) {
        m_connectFailures = 0;
        return;
    }
    // A backend server that has crashed does not announce it. Without running requests it would
    // look like the best one to all nodes. It is used again once it announces itself.
    if (++m_connectFailures == ConnectFailuresUntilGone && m_usable && m_onInstanceGone)
        m_onInstanceGone();
}

void LocalGate::send(std::uint64_t number, std::shared_ptr<HttpClientConnection> connection)
{
    Run &run = m_runs.at(number);
    ++m_counters.m_runs;
    run.m_sentAt = std::chrono::steady_clock::now();
    if (!run.m_resent)
        traffic::recordFirstAttempt(m_resends, run.m_call.m_service, run.m_sentAt);
    run.m_sent = true;
    traffic::recordDispatch(run.m_dispatches);
    run.m_instance = m_instance->m_id;
    run.m_connection = connection;
    HttpRequest request = backendRequest(run, run.m_sentAt);
    connection->exchange(
            std::move(request), run.m_call.m_attempt,
            [this, number](ExchangeResult result) { exchangeEnded(number, std::move(result)); });
}

HttpRequest LocalGate::backendRequest(const Run &run, TimePoint now) const
{
    const Call &call = run.m_call;
    HttpRequest request;
    request.version(11);
    request.method_string({call.m_method.data(), call.m_method.size()});
    request.target({call.m_target.data(), call.m_target.size()});
    request.set(http::field::host, call.m_host);
    for (const HeaderField &field : call.m_fields)
        request.insert(field.m_name, field.m_value);
    const HeaderNames &names = m_settings.m_headers;
    if (!call.m_attempt.empty())
        request.set(names.m_attempt, call.m_attempt);
    request.set(names.m_deadline,
                std::to_string(millisecondsUntil(run.m_forwardedDeadline, now).count()));
    request.set(names.m_expectedInstance, m_instance->m_id);
    request.set(names.m_callerService, call.m_callerService);
    if (!call.m_organisation.empty())
        request.set(names.m_organisation, call.m_organisation);
    request.body() = call.m_body;
    if (!call.m_body.empty() || request.method() == http::verb::post
        || request.method() == http::verb::put)
        request.content_length(call.m_body.size());
    return request;
}

void LocalGate::exchangeEnded(std::uint64_t number, ExchangeResult result)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    Run &run = found->second;
    const std::shared_ptr<HttpClientConnection> connection =
            std::exchange(run.m_connection, nullptr);
    if (result.m_status == ExchangeStatus::Answered) {
        m_pool.release(connection);
        finish(number, classifyResponse(run, std::move(result.m_response)));
        return;
    }
    if (!result.m_problem.empty())
        logBrokenExchange(run, result.m_problem);
    // The backend server may have closed an idle connection just as the request was sent.
    const bool isStale = connection->hasBeenUsed() && !result.m_receivedBytes
            && std::chrono::steady_clock::now() - run.m_sentAt < StaleResetWindow;
    if (isStale)
        m_pool.clear();
    if (isStale && mayResend(run)) {
        run.m_resent = true;
        connectRun(number, true);
        return;
    }
    finish(number, failureOf(run, FailureReason::Broken));
}

bool LocalGate::mayResend(const Run &run)
{
    // The request may have reached the backend server before the reset and so arrive twice. It is
    // charged to a budget of its own, since the entry node does not see this retry.
    return run.m_call.m_idempotent && !run.m_resent
            && traffic::takeRepeat(m_resends, run.m_call.m_service, run.m_call.m_priority == 0, {},
                                   std::chrono::steady_clock::now())
            && traffic::takeRequest(m_gate.m_requestLimit, std::chrono::steady_clock::now());
}

CallResult LocalGate::failureOf(const Run &run, FailureReason reason)
{
    return Failure{run.m_call.m_id, !traffic::mayHaveRun(run.m_dispatches), run.m_sent, reason, {}};
}

CallResult LocalGate::classifyRefusal(Run &run, FailureReason reason)
{
    // The backend server may have run an earlier send of the request before it lost the connection.
    traffic::recordNotRun(run.m_dispatches);
    return failureOf(run, reason);
}

CallResult LocalGate::classifyResponse(Run &run, HttpResponse response)
{
    const HeaderNames &names = m_settings.m_headers;
    const int status = static_cast<int>(response.result_int());
    const bool sealed = !fieldValue(response, names.m_seal).empty();
    // Without the attempt's identifier not even a refusal is known to concern this request.
    if (fieldValue(response, names.m_attempt) != run.m_call.m_attempt)
        return failureOf(run, FailureReason::Broken);
    readServerState(run, response, sealed);
    if (response.result() == http::status::misdirected_request && !sealed) {
        if (m_onInstanceGone)
            m_onInstanceGone();
        return classifyRefusal(run, FailureReason::Unavailable);
    }
    if (!fieldValue(response, names.m_notRun).empty())
        return classifyRefusal(run, FailureReason::ServerRefused);
    if (!sealed && response.result() < http::status::bad_request)
        return failureOf(run, FailureReason::Broken);
    Answer answer;
    answer.m_id = run.m_call.m_id;
    answer.m_status = status;
    answer.m_fields = endToEndFields(response);
    answer.m_body = std::move(response.body());
    return answer;
}

void LocalGate::readServerState(const Run &run, const HttpResponse &response, bool isSealed)
{
    // Only answers of the present backend server count, not those that an earlier one still gives.
    const bool isRefusal = !fieldValue(response, m_settings.m_headers.m_notRun).empty();
    if (!m_instance || run.m_instance != m_instance->m_id || (!isSealed && !isRefusal)
        || response.result() == http::status::misdirected_request)
        return;
    readRequestLimit(run, response, isSealed);
    if (uniqueValue(response, m_settings.m_headers.m_leaving) == "1" && m_onInstanceLeaving)
        m_onInstanceLeaving();
}

void LocalGate::readRequestLimit(const Run &run, const HttpResponse &response, bool isSealed)
{
    traffic::RequestLimit &limit = m_gate.m_requestLimit;
    const std::optional<std::string> text =
            uniqueValue(response, m_settings.m_headers.m_requestLimit);
    if (!text) {
        // Refusals may be written before the backend server looks at its load.
        if (isSealed && traffic::liftLimit(limit, run.m_sentAt))
            logRequestLimit(run, "none");
        return;
    }
    const std::optional<double> rate = traffic::parseRequestLimit(*text);
    if (!rate) {
        ++m_counters.m_unreadableLimits;
        logRequestLimit(run, "unreadable: " + *text);
        return;
    }
    const bool isChanged = limit.m_rate != rate;
    traffic::nameLimit(limit, *rate, std::chrono::steady_clock::now());
    if (isChanged)
        logRequestLimit(run, *text);
}

void LocalGate::logRequestLimit(const Run &run, const std::string &limit)
{
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info,
                         {{"event", "request-limit"},
                          {"instance", run.m_instance},
                          {"request", run.m_call.m_attempt},
                          {"limit", limit},
                          {"running", std::to_string(m_gate.m_running)},
                          {"waiting", std::to_string(m_gate.m_queue.m_size)}},
                         std::chrono::steady_clock::now());
}

void LocalGate::scheduleNextStart()
{
    const std::optional<TimePoint> next =
            traffic::nextStart(m_gate, std::chrono::steady_clock::now());
    if (!next || m_nextStartTimer != 0)
        return;
    m_nextStartTimer = m_timers.add(*next, [this] {
        m_nextStartTimer = 0;
        startWaiting();
    });
}

void LocalGate::refuseWaiting(std::uint64_t number, FailureReason reason)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end() || found->second.m_running)
        return;
    traffic::removeWaiting(m_gate, number);
    m_timers.cancel(found->second.m_timer);
    Run run = std::move(found->second);
    m_runs.erase(found);
    ++m_counters.m_runsRefused;
    Failure failure{run.m_call.m_id, true, false, reason, load()};
    logFailure(run, failure);
    respond(run, failure);
}

void LocalGate::handleTimeout(std::uint64_t number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    Run &run = found->second;
    run.m_timer = 0;
    if (run.m_connection)
        run.m_connection->close();
    finish(number, failureOf(run, FailureReason::Timeout));
}

void LocalGate::finish(std::uint64_t number, CallResult result)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    Run run = std::move(found->second);
    m_runs.erase(found);
    m_timers.cancel(run.m_timer);
    traffic::leaveRun(m_lineage, number, run.m_forwardedDeadline);
    const auto active = m_active.find(run.m_call.m_route);
    const int activeRuns = active->second--;
    if (activeRuns == 1)
        m_active.erase(active);
    const bool ran = std::holds_alternative<Answer>(result)
            || std::get<Failure>(result).m_reason == FailureReason::Timeout;
    const TimePoint now = std::chrono::steady_clock::now();
    const std::chrono::nanoseconds held = now - run.m_startedAt;
    recordHold(run, result, held, now);
    traffic::finishRun(m_gate, ran ? held : std::chrono::nanoseconds{0});
    // Failed runs count as well, since they have held a slot and made nested calls.
    if (run.m_sent) {
        traffic::CallCounts calls =
                traffic::takeOpenCalls(m_openCalls, run.m_call.m_route, activeRuns);
        for (const auto &[callee, count] : run.m_nestedCalls)
            calls[callee] += count;
        traffic::recordRun(m_profile, run.m_call.m_route, held, calls);
    }
    if (Answer *answer = std::get_if<Answer>(&result)) {
        answer->m_load = load();
    } else {
        std::get<Failure>(result).m_load = load();
        logFailure(run, std::get<Failure>(result));
    }
    respond(run, std::move(result));
    startWaiting();
}

void LocalGate::recordHold(const Run &run, const CallResult &result, std::chrono::nanoseconds held,
                           TimePoint now)
{
    const Answer *answer = std::get_if<Answer>(&result);
    const bool isServed = answer != nullptr && answer->m_status < 500;
    traffic::endMeteredRun(m_completions, run.m_expectedHold, held, isServed, now);
    // Failures that end early would bias the average run time downwards. One that has lasted much
    // longer than a usual run, e.g. until its deadline, shows a slow backend server.
    constexpr double LongFailure = 2.0;
    const double pace = m_relativeHold.m_value > 0 ? m_relativeHold.m_value : 1.0;
    if (isServed || held > run.m_expectedHold * pace * LongFailure)
        traffic::recordHold(m_relativeHold, held, run.m_expectedHold, now);
}

void LocalGate::startWaiting()
{
    while (const std::optional<std::uint64_t> next =
                   traffic::startNext(m_gate, std::chrono::steady_clock::now())) {
        if (m_runs.contains(*next))
            start(*next);
        else
            traffic::finishRun(m_gate, std::chrono::nanoseconds{0});
    }
    scheduleNextStart();
}

void LocalGate::respond(Run &run, CallResult result)
{
    const CallResponder responder = std::exchange(run.m_responder, nullptr);
    if (responder)
        responder(std::move(result));
}

void LocalGate::logFailure(const Run &run, const Failure &failure)
{
    if (!m_log.allows(LogTopic::Run, std::chrono::steady_clock::now()))
        return;
    m_log.write(LogTopic::Run, adapters::LogLevel::Info,
                {{"event", "run-failed"},
                 {"request", run.m_call.m_attempt},
                 {"route", run.m_call.m_route},
                 {"service", run.m_call.m_service},
                 {"instance", m_instance ? m_instance->m_id : ""},
                 {"reason", nameOf(failure.m_reason)},
                 {"not_run", failure.m_notRun ? "true" : "false"},
                 {"running", std::to_string(m_gate.m_running)},
                 {"waiting", std::to_string(m_gate.m_queue.m_size)},
                 {"limit", std::to_string(traffic::gateLimit(m_gate))}});
}

void LocalGate::logBrokenExchange(const Run &run, const std::string &problem)
{
    m_log.writeIfAllowed(LogTopic::Run, adapters::LogLevel::Warn,
                         {{"event", "response-rejected"},
                          {"request", run.m_call.m_attempt},
                          {"route", run.m_call.m_route},
                          {"service", run.m_call.m_service},
                          {"instance", m_instance ? m_instance->m_id : ""},
                          {"problem", problem}},
                         std::chrono::steady_clock::now());
}

} // namespace chervilmount::relay
