#include "node/inbound/incomingcalls.h"

#include "messages/codec/framecodec.h"
#include "node/calls/callprotocol.h"
#include "node/calls/requestids.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

// Delay suggested to callers when the refusal names no better one.
constexpr std::chrono::milliseconds DefaultRetryDelay{200};

/** The running XXH3-64 of a body. */
class Checksum
{
public:
    Checksum()
        : m_state(XXH3_createState())
    {
        XXH3_64bits_reset(m_state);
    }
    ~Checksum() { XXH3_freeState(m_state); }
    Checksum(const Checksum &) = delete;
    Checksum &operator=(const Checksum &) = delete;

    void add(const std::string &data) { XXH3_64bits_update(m_state, data.data(), data.size()); }
    std::uint64_t value() const { return XXH3_64bits_digest(m_state); }

private:
    XXH3_state_t *m_state;
};

std::vector<messages::HeaderField> toFields(const std::vector<adapters::HttpField> &fields)
{
    std::vector<messages::HeaderField> result;
    for (const adapters::HttpField &field : fields)
        result.push_back({field.m_name, field.m_value});
    return result;
}

} // namespace

IncomingCalls::IncomingCalls(const boost::asio::any_io_executor &executor, BackendServer &backend,
                             std::size_t maximumCalls, SendFrame send)
    : m_executor(executor)
    , m_backend(backend)
    , m_maximumCalls(maximumCalls)
    , m_send(std::move(send))
{
}

messages::LoadReport IncomingCalls::loadReport() const
{
    const Announcement *announcement = m_backend.announced(std::chrono::steady_clock::now());
    messages::LoadReport load;
    load.m_inFlight = static_cast<std::uint32_t>(m_calls.size());
    load.m_slots = announcement == nullptr ? 0 : announcement->m_slots;
    load.m_leaving = m_leaving;
    return load;
}

std::shared_ptr<IncomingCall> IncomingCalls::findByToken(const std::string &token) const
{
    const auto place = m_tokens.find(token);
    return place == m_tokens.end() ? nullptr : place->second;
}

std::shared_ptr<IncomingCall> IncomingCalls::find(const adapters::PeerHandle &from,
                                                  const messages::CallKey &key)
{
    const auto place = m_calls.find({from, key});
    if (place != m_calls.end())
        return place->second;
    ++m_counters.m_droppedFrames;
    return nullptr;
}

void IncomingCalls::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    if (auto *start = std::get_if<messages::CallStart>(&frame)) {
        startCall(from, std::move(*start));
    } else if (auto *body = std::get_if<messages::CallBody>(&frame)) {
        receiveBody(from, std::move(*body));
    } else if (const auto *cancelled = std::get_if<messages::CallCancel>(&frame)) {
        if (const std::shared_ptr<IncomingCall> call = find(from, cancelled->m_key))
            cancel(*call);
    } else if (const auto *window = std::get_if<messages::AnswerWindow>(&frame)) {
        if (const std::shared_ptr<IncomingCall> call = find(from, window->m_key)) {
            call->m_answerCredit += window->m_bytes;
            call->m_changed.notify();
        }
    }
}

std::string IncomingCalls::admissionRefusal(const messages::CallStart &start,
                                            std::chrono::steady_clock::time_point now) const
{
    const Announcement *announcement = m_backend.announced(now);
    if (m_leaving)
        return "leaving";
    if (announcement == nullptr || announcement->m_service != start.m_service)
        return "no-backend-server";
    if (m_calls.size() >= m_maximumCalls)
        return "too-many-calls";
    if (m_atBackend >= announcement->m_slots)
        return "limit";
    if (start.m_remaining.count() <= 0)
        return "deadline";
    return {};
}

void IncomingCalls::refuse(const adapters::PeerHandle &to, const messages::CallStart &start,
                           const std::string &reason, bool notRun, int unusedExtraAttempts)
{
    ++m_counters.m_refused;
    messages::Refusal refusal;
    refusal.m_key = start.m_key;
    refusal.m_notRun = notRun;
    refusal.m_reason = reason;
    refusal.m_retryAfter = DefaultRetryDelay;
    refusal.m_status = notRun ? 503 : 502;
    refusal.m_unusedExtraAttempts = unusedExtraAttempts;
    refusal.m_load = loadReport();
    m_send(to, refusal);
}

void IncomingCalls::startCall(const adapters::PeerHandle &from, messages::CallStart &&start)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const std::string reason = admissionRefusal(start, now);
    if (!reason.empty()) {
        refuse(from, start, reason, true, start.m_extraAttempts);
        return;
    }
    auto call = std::make_shared<IncomingCall>(m_executor);
    call->m_peer = from;
    call->m_deadline = now + start.m_remaining;
    call->m_extraAttempts = start.m_extraAttempts;
    call->m_bodyCredit = BodyWindowBytes;
    call->m_bodyComplete = !start.m_hasBody;
    call->m_answerCredit = AnswerWindowBytes;
    call->m_token = newToken();
    call->m_start = std::move(start);
    if (!m_calls.emplace(CallId(from, call->m_start.m_key), call).second) {
        ++m_counters.m_droppedFrames;
        return;
    }
    m_tokens.emplace(call->m_token, call);
    ++m_counters.m_started;
    boost::asio::co_spawn(m_executor, run(call), boost::asio::detached);
}

void IncomingCalls::receiveBody(const adapters::PeerHandle &from, messages::CallBody &&body)
{
    const std::shared_ptr<IncomingCall> call = find(from, body.m_key);
    if (!call || call->m_bodyComplete)
        return;
    if (body.m_data.size() > call->m_bodyCredit) {
        cancel(*call);
        return;
    }
    call->m_bodyCredit -= body.m_data.size();
    call->m_bodyComplete = body.m_last;
    if (!body.m_data.empty())
        call->m_body.push_back(std::move(body.m_data));
    call->m_changed.notify();
}

void IncomingCalls::cancel(IncomingCall &call)
{
    if (call.m_cancelled)
        return;
    call.m_cancelled = true;
    ++m_counters.m_cancelled;
    if (call.m_connection != nullptr)
        call.m_connection->close();
    call.m_changed.notify();
}

adapters::Task<> IncomingCalls::run(std::shared_ptr<IncomingCall> call)
{
    ++m_atBackend;
    try {
        co_await runAtBackend(*call);
    } catch (const std::exception &) {
        ++m_counters.m_broken;
        refuse(call->m_peer, call->m_start, "internal-error", false, 0);
    }
    --m_atBackend;
    m_tokens.erase(call->m_token);
    m_calls.erase({call->m_peer, call->m_start.m_key});
}

adapters::Task<> IncomingCalls::runAtBackend(IncomingCall &call)
{
    std::unique_ptr<adapters::HttpConnection> connection =
            co_await m_backend.acquire(call.m_deadline);
    if (!connection) {
        refuse(call.m_peer, call.m_start, "backend-unreachable", true, call.m_extraAttempts);
        co_return;
    }
    if (call.m_cancelled) {
        m_backend.release(std::move(connection));
        co_return;
    }
    call.m_connection = connection.get();
    connection->setDeadline(call.m_deadline);
    // The server may answer before it has taken the whole request, so the answer is read anyway.
    co_await sendRequest(call, *connection);
    const bool answered = !call.m_cancelled && co_await answer(call, *connection);
    call.m_connection = nullptr;
    if (answered)
        ++m_counters.m_answered;
    else
        connection->close();
    m_backend.release(std::move(connection));
}

adapters::Task<bool> IncomingCalls::sendRequest(IncomingCall &call,
                                                adapters::HttpConnection &connection)
{
    const messages::CallStart &start = call.m_start;
    adapters::HttpRequestHead head;
    head.m_method = start.m_method;
    head.m_target = start.m_target;
    head.m_hasBody = start.m_hasBody;
    head.m_bodyBytes = start.m_bodyBytes;
    for (const messages::HeaderField &field : start.m_fields)
        head.m_fields.push_back({field.m_name, field.m_value});
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
            call.m_deadline - std::chrono::steady_clock::now());
    head.m_fields.push_back({"Chervilmount-Context", call.m_token});
    head.m_fields.push_back({"Chervilmount-Deadline-Ms",
                             std::to_string(std::max<std::int64_t>(0, remaining.count()))});
    head.m_fields.push_back({"Chervilmount-Request-Id", toHex(start.m_key.m_requestId)});
    if (!co_await connection.writeHead(head))
        co_return false;
    if (!start.m_hasBody)
        co_return true;
    co_return co_await sendRequestBody(call, connection);
}

adapters::Task<bool> IncomingCalls::sendRequestBody(IncomingCall &call,
                                                    adapters::HttpConnection &connection)
{
    for (;;) {
        while (call.m_body.empty() && !call.m_bodyComplete && !call.m_cancelled
               && std::chrono::steady_clock::now() < call.m_deadline)
            co_await call.m_changed.waitUntil(call.m_deadline);
        if (call.m_body.empty())
            break;
        const std::string data = std::move(call.m_body.front());
        call.m_body.pop_front();
        if (call.m_cancelled || !co_await connection.writeBody(data))
            co_return false;
        call.m_bodyCredit += data.size();
        m_send(call.m_peer,
               messages::BodyWindow{call.m_start.m_key, static_cast<std::uint32_t>(data.size())});
    }
    if (call.m_cancelled || !call.m_bodyComplete)
        co_return false;
    co_return co_await connection.finishBody();
}

adapters::Task<bool> IncomingCalls::answer(IncomingCall &call, adapters::HttpConnection &connection)
{
    std::optional<adapters::HttpResponseHead> head = co_await connection.readHead();
    if (call.m_cancelled)
        co_return false;
    if (!head) {
        const bool late = std::chrono::steady_clock::now() >= call.m_deadline;
        refuse(call.m_peer, call.m_start, late ? "deadline" : "backend-failed", false,
               call.m_extraAttempts);
        co_return false;
    }
    if (adapters::equalNames(head->field("Chervilmount-Not-Run"), "true")) {
        refuse(call.m_peer, call.m_start, "backend-refused", true, call.m_extraAttempts);
        co_return false;
    }
    messages::AnswerHead answerHead;
    answerHead.m_key = call.m_start.m_key;
    answerHead.m_status = head->m_status;
    answerHead.m_fields = toFields(head->m_fields);
    answerHead.m_bodyBytes = head->m_bodyBytes;
    answerHead.m_load = loadReport();
    m_send(call.m_peer, answerHead);
    co_return co_await sendAnswerBody(call, connection);
}

adapters::Task<bool> IncomingCalls::sendAnswerBody(IncomingCall &call,
                                                   adapters::HttpConnection &connection)
{
    using BodyRead = adapters::HttpConnection::BodyRead;
    messages::AnswerEnd end;
    end.m_key = call.m_start.m_key;
    Checksum checksum;
    std::string data;
    BodyRead read = BodyRead::Data;
    while (read == BodyRead::Data) {
        while (call.m_answerCredit == 0 && !call.m_cancelled
               && std::chrono::steady_clock::now() < call.m_deadline)
            co_await call.m_changed.waitUntil(call.m_deadline);
        if (call.m_cancelled)
            co_return false;
        if (call.m_answerCredit == 0)
            break;
        read = co_await connection.readBody(
                data, std::min<std::uint64_t>(call.m_answerCredit, messages::ChunkBytes));
        if (call.m_cancelled)
            co_return false;
        if (data.empty())
            continue;
        checksum.add(data);
        end.m_totalBytes += data.size();
        call.m_answerCredit -= data.size();
        m_send(call.m_peer, messages::AnswerChunk{call.m_start.m_key, data});
    }
    end.m_complete = read == BodyRead::End;
    end.m_checksum = checksum.value();
    end.m_unusedExtraAttempts = call.m_extraAttempts;
    end.m_load = loadReport();
    m_send(call.m_peer, end);
    if (!end.m_complete)
        ++m_counters.m_broken;
    co_return end.m_complete;
}

} // namespace chervilmount::node
