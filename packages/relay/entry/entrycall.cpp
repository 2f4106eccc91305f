#include "relay/entry/entrycall.h"

#include "adapters/http/httpmessage.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

namespace {

using Milliseconds = std::chrono::milliseconds;

/** Nodes to which a request may be sent before it is refused. */
constexpr std::size_t MaxPlacementAttempts = 3;
/** Grace time after the deadline in which the backend server's own response may still arrive. */
constexpr Milliseconds DeadlineMargin{60};
/** A request is not retried when less than this share of its time remains. */
constexpr double MinRemainingTimeShare = 0.25;
/** Retry-After if no backend server is available for a reason other than overload, e.g. while a
 * node starts. */
constexpr Milliseconds UnavailableRetryAfter{300};

/** @returns the milliseconds since a time, or -1 if it is unset. */
std::string formatAge(std::chrono::steady_clock::time_point since,
                      std::chrono::steady_clock::time_point now)
{
    if (since == std::chrono::steady_clock::time_point())
        return "-1";
    return std::to_string(std::chrono::floor<Milliseconds>(now - since).count());
}

std::string formatSeconds(Milliseconds duration)
{
    const std::int64_t count = duration.count();
    std::string fraction = std::to_string(1000 + count % 1000).substr(1);
    return std::to_string(count / 1000) + "." + fraction;
}

} // namespace

EntryCall::EntryCall(EntryServices &services, std::shared_ptr<ServerExchange> exchange,
                     EntryRequest request)
    : m_services(services)
    , m_exchange(std::move(exchange))
    , m_entry(std::move(request))
{
}

void EntryCall::start()
{
    m_services.m_calls.insert(shared_from_this());
    m_exchange->m_onAbandoned = [self = shared_from_this()] { self->handleDisconnect(); };
    m_deadlineTimer = m_services.m_timers.add(m_entry.m_deadline + DeadlineMargin,
                                              [self = shared_from_this()] {
                                                  self->m_deadlineTimer = 0;
                                                  self->handleTimeout();
                                              });
    traffic::recordFirstAttempt(m_services.m_repeats, m_entry.m_service,
                                std::chrono::steady_clock::now());
    attempt();
}

void EntryCall::abort()
{
    cancelAttempts();
    if (traffic::mayHaveRun(m_dispatches))
        refuse(Outcome::Unknown, 502, "the node stopped before the answer came", {});
    else
        refuseWithoutCapacity("the node stopped");
}

void EntryCall::refuse(Outcome outcome, int status, const std::string &reason,
                       std::chrono::milliseconds retryAfter)
{
    HttpResponse response = makeResponse(status, reason + "\n");
    if (retryAfter.count() > 0)
        response.set(boost::beast::http::field::retry_after, formatSeconds(retryAfter));
    finish(outcome, std::move(response), reason);
}

void EntryCall::attempt()
{
    const TimePoint now = std::chrono::steady_clock::now();
    std::vector<const traffic::Target *> targets =
            m_services.m_mesh.targetsOf(m_entry.m_service, now);
    traffic::Target own;
    if (m_services.m_gate.serves(m_entry.m_service)) {
        own.m_load = m_services.m_gate.load();
        own.m_outlier = m_services.m_ownOutlier;
        targets.push_back(&own);
    }
    const std::optional<traffic::Placement> placement = traffic::choosePlacement(
            targets,
            {m_tried, m_entry.m_priority == 0,
             m_services.m_loads.expectedHold(m_entry.m_route->m_name).count()},
            m_services.m_settings.m_placement, m_services.m_random, now);
    const bool isSecond = !m_running.empty();
    if (isSecond && (!placement || m_tried.size() >= MaxPlacementAttempts))
        return;
    if (!placement || m_tried.size() >= MaxPlacementAttempts) {
        refuseWithoutCapacity(targets.empty() ? "no backend server" : "no room");
        return;
    }
    const std::string node = targets[placement->m_index]->m_node;
    if (m_arrivals == 0 && !isSecond
        && std::chrono::duration<double>(placement->m_expectedWait)
                > m_entry.m_route->m_targetLatency * allowedWaitShare()) {
        refuseWithoutCapacity("expected wait too long");
        return;
    }
    m_tried.push_back(node);
    m_running.push_back({node, 0, now});
    traffic::recordDispatch(m_dispatches);
    const CallResponder responder = [self = shared_from_this(), node](CallResult result) {
        self->attemptEnded(node, std::move(result));
    };
    const std::uint64_t number = node.empty()
            ? m_services.m_gate.run(buildCall(now), responder)
            : m_services.m_mesh.call(node, buildCall(now), responder);
    if (number == 0) {
        attemptEnded(node, Failure{0, true, false, FailureReason::LinkLost, {}});
        return;
    }
    // The responder may have been called already, and a retry may be running.
    for (Attempt &running : m_running) {
        if (running.m_node == node)
            running.m_number = number;
    }
}

void EntryCall::refuseWithoutCapacity(const std::string &reason)
{
    if (traffic::mayHaveRun(m_dispatches)) {
        refuse(Outcome::Unknown, 502, "a backend server may have run the request", {});
        return;
    }
    const bool overloaded = reason != "no backend server";
    const Milliseconds delay = overloaded
            ? traffic::retryAfter(m_services.m_settings.m_retryAfter,
                                  m_entry.m_route->m_targetLatency, m_entry.m_admittedShare,
                                  m_services.m_random)
            : UnavailableRetryAfter;
    refuse(overloaded ? Outcome::RefusedOverload : Outcome::RefusedUnavailable, 503, reason, delay);
}

Call EntryCall::buildCall(TimePoint now) const
{
    const HttpRequest &request = m_entry.m_request;
    const HeaderNames &names = m_services.m_settings.m_headers;
    Call call;
    call.m_service = m_entry.m_service;
    call.m_route = m_entry.m_route->m_name;
    call.m_method = std::string(request.method_string());
    call.m_target = std::string(request.target());
    call.m_host = std::string(request[boost::beast::http::field::host]);
    call.m_fields = endToEndFields(request);
    // The node sets these fields itself and discards the caller's values; the key is never
    // forwarded.
    std::erase_if(call.m_fields, [&names](const HeaderField &field) {
        for (const std::string *name :
             {&names.m_attempt, &names.m_deadline, &names.m_key, &names.m_callerService,
              &names.m_organisation, &names.m_expectedInstance}) {
            if (adapters::equalNames(field.m_name, *name))
                return true;
        }
        return false;
    });
    call.m_body = request.body();
    call.m_remaining =
            std::max(Milliseconds{0}, std::chrono::floor<Milliseconds>(deadline() - now));
    call.m_priority = m_entry.m_priority;
    call.m_nested = m_entry.m_nested;
    call.m_organisation = m_entry.m_organisation;
    // Subtracts the time already waited, so that the waits at several nodes together stay within
    // the bound for one.
    const double waitShare = allowedWaitShare();
    const std::chrono::duration<double, std::milli> waited = now - m_entry.m_arrivedAt;
    call.m_targetLatency =
            std::max(Milliseconds{0},
                     m_entry.m_route->m_targetLatency
                             - Milliseconds(static_cast<std::int64_t>(waited.count() / waitShare)));
    call.m_idempotent = isIdempotent();
    call.m_attempt = m_entry.m_attempt;
    call.m_callerService = m_services.m_settings.m_service;
    return call;
}

EntryCall::TimePoint EntryCall::deadline() const
{
    return std::min(m_entry.m_deadline, traffic::latestDeadline(m_services.m_stop));
}

void EntryCall::attemptEnded(const std::string &node, CallResult result)
{
    if (m_finished)
        return;
    std::erase_if(m_running, [&node](const Attempt &running) { return running.m_node == node; });
    if (Answer *answer = std::get_if<Answer>(&result))
        handleAnswer(node, std::move(*answer));
    else
        handleFailure(node, std::get<Failure>(result));
}

void EntryCall::handleAnswer(const std::string &node, Answer answer)
{
    recordAttempt(node, routing::AttemptResult::Success, std::chrono::steady_clock::now());
    // The other attempt may still be served.
    const bool isFailure = answer.m_status >= 500 || traffic::statesNotRun(answer.m_status);
    if (isFailure && !m_running.empty()) {
        ++m_arrivals;
        return;
    }
    HttpResponse response = makeResponse(answer.m_status, std::move(answer.m_body));
    for (const HeaderField &field : answer.m_fields)
        response.insert(field.m_name, field.m_value);
    const bool served = answer.m_status < 400;
    finish(served ? Outcome::Served : Outcome::ServerFailure, std::move(response),
           served ? "" : "failure of the backend server");
}

void EntryCall::handleFailure(const std::string &node, const Failure &failure)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const bool counts = failure.m_reason == FailureReason::ServerRefused
            || failure.m_reason == FailureReason::Broken;
    recordAttempt(node,
                  counts ? routing::AttemptResult::Failure : routing::AttemptResult::NotCounted,
                  now);
    if (failure.m_notRun)
        traffic::recordNotRun(m_dispatches);
    if (failure.m_arrived)
        ++m_arrivals;
    if (!m_running.empty())
        return;
    if (failure.m_reason == FailureReason::Timeout) {
        handleTimeout();
        return;
    }
    if (mayRetry(failure, now)) {
        attempt();
        return;
    }
    if (traffic::mayHaveRun(m_dispatches))
        refuse(Outcome::Unknown, 502, nameOf(failure.m_reason), {});
    else
        refuseWithoutCapacity(nameOf(failure.m_reason));
}

void EntryCall::recordAttempt(const std::string &node, routing::AttemptResult result, TimePoint now)
{
    const routing::OutlierSettings &settings = m_services.m_settings.m_placement.m_outlier;
    if (!node.empty())
        m_services.m_mesh.recordAttempt(node, result, settings, now);
    else if (routing::recordAttempt(m_services.m_ownOutlier, settings, result))
        routing::eject(m_services.m_ownOutlier, settings, now);
}

bool EntryCall::mayRetry(const Failure &failure, TimePoint now)
{
    if (traffic::mayHaveRun(m_dispatches) && !isIdempotent())
        return false;
    if (!failure.m_arrived)
        return hasTimeToRepeat(now);
    return takeRepeat(m_arrivals, now);
}

bool EntryCall::hasTimeToRepeat(TimePoint now) const
{
    const std::chrono::duration<double> left = deadline() - now;
    const std::chrono::duration<double> whole = m_entry.m_deadline - m_entry.m_arrivedAt;
    return left >= whole * MinRemainingTimeShare;
}

bool EntryCall::takeRepeat(int arrivals, TimePoint now)
{
    const bool important = m_entry.m_priority == 0;
    if (!hasTimeToRepeat(now) || arrivals >= m_entry.m_route->m_maximumAttempts
        || !traffic::hasRepeat(m_services.m_repeats, m_entry.m_service, important, now))
        return false;
    traffic::takeRepeat(m_services.m_repeats, m_entry.m_service, important,
                        m_services.m_loads.nestedRunsOf(*m_entry.m_policy, *m_entry.m_route), now);
    ++m_services.m_counters.m_repeats;
    return true;
}

void EntryCall::reconsider(TimePoint now)
{
    if (m_finished || m_running.size() != 1 || !isIdempotent())
        return;
    const traffic::RunningAttempt attempt = describe(m_running.front(), now);
    if (!traffic::isDoubtful(m_services.m_settings.m_secondAttempts, attempt)
        || !takeRepeat(m_arrivals + 1, now))
        return;
    ++m_services.m_counters.m_secondAttempts;
    logSecondAttempt(attempt, now);
    this->attempt();
}

traffic::RunningAttempt EntryCall::describe(const Attempt &attempt, TimePoint now) const
{
    traffic::RunningAttempt running;
    running.m_age = now - attempt.m_startedAt;
    running.m_expectedHold = m_services.m_loads.expectedHold(m_entry.m_route->m_name);
    const double ownHold = m_services.m_gate.load().m_relativeHold;
    if (attempt.m_node.empty()) {
        running.m_relativeHold = ownHold;
    } else {
        const Peer *peer = m_services.m_mesh.peerNamed(attempt.m_node);
        running.m_isSilent = peer == nullptr || m_services.m_mesh.isSilent(*peer, now);
        running.m_relativeHold = peer == nullptr ? 0.0 : peer->m_target.m_load.m_relativeHold;
    }
    if (running.m_relativeHold < m_services.m_settings.m_secondAttempts.m_slowHold)
        return running;
    double lowest = running.m_relativeHold;
    if (!attempt.m_node.empty() && m_services.m_gate.serves(m_entry.m_service))
        lowest = ownHold;
    for (const traffic::Target *target : m_services.m_mesh.targetsOf(m_entry.m_service, now)) {
        if (target->m_node != attempt.m_node)
            lowest = std::min(lowest, target->m_load.m_relativeHold);
    }
    running.m_otherRelativeHold = lowest;
    return running;
}

void EntryCall::handleTimeout()
{
    if (m_finished)
        return;
    cancelAttempts();
    if (traffic::mayHaveRun(m_dispatches)) {
        refuse(Outcome::Timeout, 504, "timeout", {});
        return;
    }
    refuseWithoutCapacity("timeout before a place was found");
}

void EntryCall::handleDisconnect()
{
    if (end(Outcome::Abandoned))
        log(Outcome::Abandoned, 0, "the caller left", std::chrono::steady_clock::now());
}

void EntryCall::cancelAttempts()
{
    const std::vector<Attempt> running = std::exchange(m_running, {});
    for (const Attempt &attempt : running) {
        // An attempt at another node may have run, or may still run before its cancellation
        // arrives there.
        if (!attempt.m_node.empty())
            m_services.m_mesh.cancel(attempt.m_node, attempt.m_number);
        else if (m_services.m_gate.cancel(attempt.m_number))
            traffic::recordNotRun(m_dispatches);
    }
}

void EntryCall::settleToken()
{
    if (m_entry.m_token && !traffic::mayHaveRun(m_dispatches))
        traffic::returnToken(m_services.m_rates, m_entry.m_organisation, *m_entry.m_token,
                             std::chrono::steady_clock::now());
}

bool EntryCall::end(Outcome outcome)
{
    if (m_finished)
        return false;
    m_finished = true;
    m_services.m_calls.erase(shared_from_this());
    m_services.m_timers.cancel(m_deadlineTimer);
    cancelAttempts();
    settleToken();
    ++m_services.m_counters.m_outcomes[static_cast<std::size_t>(outcome)];
    return true;
}

void EntryCall::finish(Outcome outcome, HttpResponse response, std::string reason)
{
    if (!end(outcome))
        return;
    // A backend server may fail with such a status after it has run the request. The whole answer
    // is replaced: its seal proves a status, and its fields may tell the caller when to come back.
    const int status = static_cast<int>(response.result_int());
    if (traffic::statesNotRun(status) && traffic::mayHaveRun(m_dispatches)) {
        reason = "status " + std::to_string(status)
                + " of the backend server, which may have run the request";
        response = makeResponse(502, reason + "\n");
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const HeaderNames &names = m_services.m_settings.m_headers;
    if (!m_entry.m_attempt.empty() && fieldValue(response, names.m_attempt).empty())
        response.set(names.m_attempt, m_entry.m_attempt);
    if (m_entry.m_route != nullptr)
        m_services.m_counters.m_latencies[m_entry.m_route->m_name].record(now
                                                                          - m_entry.m_arrivedAt);
    log(outcome, static_cast<int>(response.result_int()), reason, now);
    m_exchange->respond(std::move(response), traffic::isStopping(m_services.m_stop));
}

void EntryCall::logSecondAttempt(const traffic::RunningAttempt &attempt, TimePoint now)
{
    const std::string &node = m_running.front().m_node;
    m_services.m_log.writeIfAllowed(
            LogTopic::Run, adapters::LogLevel::Info,
            {{"event", "second-attempt"},
             {"request", m_entry.m_attempt},
             {"route", m_entry.m_route->m_name},
             {"service", m_entry.m_service},
             {"first", node.empty() ? "local" : node},
             {"age_ms", std::to_string(attempt.m_age.count() * 1e3)},
             {"expected_ms", std::to_string(attempt.m_expectedHold.count() * 1e3)},
             {"relative_hold", std::to_string(attempt.m_relativeHold)},
             {"silent", attempt.m_isSilent ? "true" : "false"}},
            now);
}

void EntryCall::log(Outcome outcome, int status, const std::string &reason, TimePoint now)
{
    const LogTopic topic = outcome == Outcome::Served ? LogTopic::Request : LogTopic::Failure;
    if (!m_services.m_log.allows(topic, now))
        return;
    std::string nodes;
    for (const std::string &node : m_tried)
        nodes += (nodes.empty() ? "" : ",") + (node.empty() ? "local" : node);
    const std::chrono::duration<double, std::milli> took = now - m_entry.m_arrivedAt;
    const PolicyOrigin policy = m_entry.m_policyOrigin ? *m_entry.m_policyOrigin : PolicyOrigin{};
    m_services.m_log.write(topic, adapters::LogLevel::Info,
                           {{"event", "request"},
                            {"request", m_entry.m_attempt},
                            {"outcome", nameOf(outcome)},
                            {"status", std::to_string(status)},
                            {"reason", reason},
                            {"route", m_entry.m_route == nullptr ? "" : m_entry.m_route->m_name},
                            {"service", m_entry.m_service},
                            {"organisation", m_entry.m_organisation},
                            {"priority", std::to_string(m_entry.m_priority)},
                            {"nested", m_entry.m_nested ? "true" : "false"},
                            {"parent", m_entry.m_parent},
                            {"admitted_share", std::to_string(m_entry.m_admittedShare)},
                            {"nodes", nodes},
                            {"arrivals", std::to_string(m_arrivals)},
                            {"may_have_run", traffic::mayHaveRun(m_dispatches) ? "true" : "false"},
                            {"charged", m_entry.m_token ? "true" : "false"},
                            {"took_ms", std::to_string(took.count())},
                            {"policy", std::to_string(policy.m_version)},
                            {"policy_source", policy.m_source},
                            {"policy_age_ms", formatAge(policy.m_appliedAt, now)},
                            {"store_age_ms", formatAge(m_entry.m_storeHeardAt, now)}});
}

double EntryCall::allowedWaitShare() const
{
    const traffic::GateSettings &gate = m_services.m_settings.m_gate;
    return m_entry.m_nested ? gate.m_nestedWaitShare : gate.m_callerWaitShare;
}

bool EntryCall::isIdempotent() const
{
    return m_entry.m_route->m_execution == model::Execution::Idempotent;
}

} // namespace chervilmount::relay
