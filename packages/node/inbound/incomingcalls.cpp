#include "node/inbound/incomingcalls.h"

#include "node/calls/callprotocol.h"
#include "node/calls/requestids.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

// Retry delay that refusals suggest.
constexpr std::chrono::milliseconds DefaultRetryDelay{200};

// Queued calls are checked at the interval of the sojourn time target, 5 ms.
constexpr std::chrono::milliseconds BusyTickInterval{5};
constexpr std::chrono::milliseconds IdleTickInterval{100};

std::string_view resultText(overload::CallResult result)
{
    switch (result) {
    case overload::CallResult::Success:
        return "success";
    case overload::CallResult::Error:
        return "error";
    case overload::CallResult::Timeout:
        return "timeout";
    case overload::CallResult::ServerRefused:
        return "server-refused";
    case overload::CallResult::NotCounted:
        break;
    }
    return "not-counted";
}

} // namespace

IncomingCalls::IncomingCalls(const boost::asio::any_io_executor &executor, BackendServer &backend,
                             DecisionRecorder &recorder, std::size_t maximumCalls, SendFrame send)
    : m_executor(executor)
    , m_backend(backend)
    , m_recorder(recorder)
    , m_maximumCalls(maximumCalls)
    , m_send(std::move(send))
    , m_admission(overload::coldAdmission({}, 1))
    , m_queued(executor)
{
    boost::asio::co_spawn(m_executor, tickAdmission(), boost::asio::detached);
}

IncomingCalls::~IncomingCalls()
{
    *m_running = false;
}

void IncomingCalls::setLeaving(bool leaving)
{
    m_admission.m_leaving = leaving;
}

void IncomingCalls::announce(const Announcement &announcement, steady_clock::time_point now)
{
    const bool isNew =
            m_backend.announced(now) == nullptr || m_admittedAddress != announcement.m_address;
    m_backend.announce(announcement, now);
    const int slots = std::max<int>(1, static_cast<int>(announcement.m_slots));
    if (isNew && m_admission.m_inFlight == 0) {
        const bool leaving = m_admission.m_leaving;
        m_admission = overload::coldAdmission({}, slots);
        m_admission.m_leaving = leaving;
        m_admittedAddress = announcement.m_address;
    } else {
        overload::announceSlots(m_admission.m_limit, slots);
        // The reported load lags and includes this node's own calls. Only the excess over the peak
        // of concurrent calls since the last report is attributed to other load.
        const double others = std::max(0.0, announcement.m_load * slots - m_peakInFlight);
        overload::reportFreeShare(m_admission.m_limit, 1.0 - others / slots);
    }
    m_peakInFlight = m_admission.m_inFlight;
}

messages::LoadReport IncomingCalls::loadReport(const IncomingCall *call) const
{
    messages::LoadReport load;
    load.m_inFlight = static_cast<std::uint32_t>(m_admission.m_inFlight);
    load.m_slots = static_cast<std::uint32_t>(m_admission.m_limit.m_slots);
    load.m_leaving = m_admission.m_leaving;
    load.m_load = overload::carriedLoad(m_admission);
    load.m_threshold = m_admission.m_threshold.m_rank;
    if (call != nullptr)
        load.m_threshold = std::min(load.m_threshold, call->m_calleeThreshold);
    return load;
}

std::shared_ptr<IncomingCall> IncomingCalls::findByToken(const std::string &token) const
{
    const auto found = m_tokens.find(token);
    return found == m_tokens.end() ? nullptr : found->second;
}

IncomingCalls::CallPointer IncomingCalls::find(const adapters::PeerHandle &from,
                                               const messages::CallKey &key)
{
    const auto found = m_calls.find({from, key});
    if (found != m_calls.end())
        return found->second;
    ++m_droppedFrames;
    return nullptr;
}

void IncomingCalls::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    if (messages::CallStart *start = std::get_if<messages::CallStart>(&frame)) {
        startCall(from, std::move(*start));
    } else if (messages::CallBody *body = std::get_if<messages::CallBody>(&frame)) {
        receiveBody(from, std::move(*body));
    } else if (const messages::CallCancel *cancelled = std::get_if<messages::CallCancel>(&frame)) {
        if (const CallPointer call = find(from, cancelled->m_key))
            cancel(call);
    } else if (const messages::AnswerWindow *window = std::get_if<messages::AnswerWindow>(&frame)) {
        if (const CallPointer call = find(from, window->m_key)) {
            // Clamped, so that a peer cannot open the window beyond its size.
            call->m_answerCredit = std::min<std::uint64_t>(AnswerWindowBytes,
                                                           call->m_answerCredit + window->m_bytes);
            call->m_changed.notify();
        }
    }
}

std::string IncomingCalls::earlyRefusal(const messages::CallStart &start,
                                        steady_clock::time_point now) const
{
    const Announcement *announcement = m_backend.announced(now);
    if (m_admission.m_leaving)
        return "leaving";
    if (announcement == nullptr || announcement->m_service != start.m_service)
        return "no-backend-server";
    if (m_calls.size() >= m_maximumCalls)
        return "too-many-calls";
    return {};
}

void IncomingCalls::refuse(const IncomingCall &call, const std::string &reason, bool notRun)
{
    messages::Refusal refusal;
    refusal.m_key = call.m_start.m_key;
    refusal.m_notRun = notRun;
    refusal.m_reason = reason;
    refusal.m_retryAfter = DefaultRetryDelay;
    refusal.m_status = notRun ? 503 : 502;
    if (reason == "deadline")
        refusal.m_status = 504;
    refusal.m_unusedExtraAttempts = call.m_allowance.m_extraAttempts;
    refusal.m_load = loadReport(&call);
    m_recorder.metrics().add("chervilmount_calls_total", {{"result", "refused-" + reason}});
    m_recorder.record(call.m_start.m_key.m_requestId, "admission",
                      {{"decision", "refuse"},
                       {"reason", reason},
                       {"outcome", notRun ? "not-run" : "unknown"},
                       {"rank", std::to_string(call.m_start.m_rank)}});
    m_send(call.m_peer, refusal);
}

void IncomingCalls::startCall(const adapters::PeerHandle &from, messages::CallStart &&start)
{
    const steady_clock::time_point now = steady_clock::now();
    auto call = std::make_shared<IncomingCall>(m_executor);
    call->m_peer = from;
    call->m_deadline = overload::anchorDeadline(start.m_remaining, now);
    call->m_allowance = {start.m_extraAttempts, start.m_repeat};
    call->m_bodyCredit = BodyWindowBytes;
    call->m_bodyComplete = !start.m_hasBody;
    call->m_answerCredit = AnswerWindowBytes;
    call->m_number = m_nextNumber++;
    call->m_start = std::move(start);
    const std::string reason = earlyRefusal(call->m_start, now);
    if (!reason.empty()) {
        refuse(*call, reason, true);
        return;
    }
    if (!m_calls.emplace(CallId(from, call->m_start.m_key), call).second) {
        ++m_droppedFrames;
        return;
    }
    m_byNumber.emplace(call->m_number, call);
    admit(call);
}

void IncomingCalls::admit(const CallPointer &call)
{
    overload::ArrivingCall arriving;
    arriving.m_call = call->m_number;
    arriving.m_organisation = overload::numberOf(m_organisations, call->m_start.m_organisation);
    arriving.m_rank = std::min(call->m_start.m_rank, overload::HighestRank);
    arriving.m_deadline = call->m_deadline;
    arriving.m_nested = call->m_start.m_pathDepth > 0;
    overload::AdmissionEffects effects;
    const overload::AdmissionDecision decision =
            overload::arrive(m_admission, arriving, steady_clock::now(), effects);
    if (decision.m_verdict == overload::Verdict::Refuse) {
        refuse(*call, std::string(overload::toText(decision.m_reason)), true);
        forget(call);
    } else if (decision.m_verdict == overload::Verdict::Start) {
        launch(call);
    } else {
        m_queued.notify();
    }
    apply(effects);
}

void IncomingCalls::apply(const overload::AdmissionEffects &effects)
{
    for (const overload::CallNumber number : effects.m_started) {
        const auto found = m_byNumber.find(number);
        if (found != m_byNumber.end())
            launch(found->second);
    }
    for (const overload::RefusedCall &refused : effects.m_refused) {
        const auto found = m_byNumber.find(refused.m_call);
        if (found == m_byNumber.end())
            continue;
        const CallPointer call = found->second;
        refuse(*call, std::string(overload::toText(refused.m_reason)), true);
        forget(call);
    }
}

void IncomingCalls::launch(const CallPointer &call)
{
    call->m_started = true;
    call->m_startedAt = steady_clock::now();
    call->m_token = newToken();
    m_tokens.emplace(call->m_token, call);
    m_peakInFlight = std::max(m_peakInFlight, m_admission.m_inFlight);
    m_recorder.record(call->m_start.m_key.m_requestId, "admission",
                      {{"decision", "start"},
                       {"service", call->m_start.m_service},
                       {"rank", std::to_string(call->m_start.m_rank)},
                       {"inflight", std::to_string(m_admission.m_inFlight)},
                       {"limit", std::to_string(overload::limitNow(m_admission.m_limit))}});
    boost::asio::co_spawn(m_executor, run(call), boost::asio::detached);
}

void IncomingCalls::receiveBody(const adapters::PeerHandle &from, messages::CallBody &&body)
{
    const CallPointer call = find(from, body.m_key);
    if (!call || call->m_bodyComplete)
        return;
    // A peer that exceeds the window would make this node buffer an unbounded body.
    if (body.m_data.size() > call->m_bodyCredit) {
        cancel(call);
        return;
    }
    call->m_bodyCredit -= body.m_data.size();
    call->m_bodyComplete = body.m_last;
    if (!body.m_data.empty())
        call->m_body.push_back(std::move(body.m_data));
    call->m_changed.notify();
}

void IncomingCalls::cancel(const CallPointer &call)
{
    if (call->m_cancelled)
        return;
    call->m_cancelled = true;
    m_recorder.metrics().add("chervilmount_calls_total", {{"result", "cancelled"}});
    if (!call->m_started) {
        overload::cancelWaiting(m_admission, call->m_number);
        forget(call);
        return;
    }
    if (call->m_connection != nullptr)
        call->m_connection->close();
    call->m_changed.notify();
}

void IncomingCalls::forget(const CallPointer &call)
{
    m_tokens.erase(call->m_token);
    m_byNumber.erase(call->m_number);
    m_calls.erase({call->m_peer, call->m_start.m_key});
}

adapters::Task<> IncomingCalls::run(CallPointer call)
{
    const std::shared_ptr<bool> running = m_running;
    BackendCallPorts ports{m_backend, m_send,
                           [this](const IncomingCall &other) { return loadReport(&other); }};
    BackendResult result;
    try {
        result = co_await runAtBackend(ports, *call);
    } catch (const std::exception &) {
        result.m_result = overload::CallResult::NotCounted;
        result.m_refusal = "internal-error";
        result.m_notRun = false;
    }
    if (*running)
        finish(call, result);
}

void IncomingCalls::finish(const CallPointer &call, const BackendResult &result)
{
    const steady_clock::time_point now = steady_clock::now();
    const std::chrono::nanoseconds slotTime = now - call->m_startedAt;
    const std::chrono::nanoseconds ownTime =
            std::max(std::chrono::nanoseconds(0), slotTime - call->m_nestedTime);
    overload::AdmissionEffects effects;
    overload::finishCall(m_admission, result.m_result, ownTime, slotTime, now, effects);
    if (!result.m_refusal.empty() && !call->m_cancelled)
        refuse(*call, result.m_refusal, result.m_notRun);
    const std::string text(resultText(result.m_result));
    m_recorder.metrics().add("chervilmount_calls_total", {{"result", text}});
    m_recorder.metrics().record("chervilmount_backend_seconds", {}, slotTime);
    m_recorder.record(call->m_start.m_key.m_requestId, "backend",
                      {{"result", text},
                       {"status", std::to_string(result.m_status)},
                       {"microseconds", std::to_string(slotTime.count() / 1000)}});
    forget(call);
    apply(effects);
}

adapters::Task<> IncomingCalls::tickAdmission()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        const steady_clock::time_point now = steady_clock::now();
        overload::AdmissionEffects effects;
        overload::tick(m_admission, now, effects);
        apply(effects);
        if (m_admission.m_queue.m_size > 0)
            co_await adapters::sleepFor(BusyTickInterval);
        else
            co_await m_queued.waitUntil(now + IdleTickInterval);
    }
}

} // namespace chervilmount::node
