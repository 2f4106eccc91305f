#include "node/inbound/backendcall.h"

#include "messages/codec/framecodec.h"
#include "node/calls/bodychecksum.h"
#include "node/calls/requestids.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using adapters::HttpConnection;
using overload::CallResult;

// Response heads must fit into one frame together with the envelope.
constexpr std::size_t MaximumHeadBytes = 96UL * 1024;

bool isPastDeadline(const IncomingCall &call)
{
    return std::chrono::steady_clock::now() >= call.m_deadline;
}

adapters::HttpRequestHead makeHead(const IncomingCall &call)
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
    return head;
}

std::size_t sizeOf(const adapters::HttpResponseHead &head)
{
    std::size_t bytes = 0;
    for (const adapters::HttpField &field : head.m_fields)
        bytes += field.m_name.size() + field.m_value.size();
    return bytes;
}

adapters::Task<bool> sendBody(const BackendCallPorts &ports, IncomingCall &call,
                              HttpConnection &connection)
{
    for (;;) {
        while (call.m_body.empty() && !call.m_bodyComplete && !call.m_cancelled
               && !isPastDeadline(call))
            co_await call.m_changed.waitUntil(call.m_deadline);
        if (call.m_body.empty() || call.m_cancelled)
            break;
        const std::string data = std::move(call.m_body.front());
        call.m_body.pop_front();
        const bool written = co_await connection.writeBody(data);
        if (!written)
            co_return false;
        call.m_bodyCredit += data.size();
        ports.m_send(
                call.m_peer,
                messages::BodyWindow{call.m_start.m_key, static_cast<std::uint32_t>(data.size())});
    }
    if (call.m_cancelled || !call.m_bodyComplete)
        co_return false;
    const bool finished = co_await connection.finishBody();
    co_return finished;
}

/** Waits for flow control credit.
 * @returns false if the call was cancelled or its deadline has passed. */
adapters::Task<bool> waitForAnswerCredit(IncomingCall &call)
{
    while (call.m_answerCredit == 0 && !call.m_cancelled && !isPastDeadline(call))
        co_await call.m_changed.waitUntil(call.m_deadline);
    co_return call.m_answerCredit > 0 && !call.m_cancelled;
}

adapters::Task<bool> sendAnswerBody(const BackendCallPorts &ports, IncomingCall &call,
                                    HttpConnection &connection)
{
    using BodyRead = HttpConnection::BodyRead;
    messages::AnswerEnd end;
    end.m_key = call.m_start.m_key;
    BodyChecksum checksum;
    std::string data;
    BodyRead read = BodyRead::Data;
    while (read == BodyRead::Data) {
        const bool mayRead = co_await waitForAnswerCredit(call);
        if (call.m_cancelled)
            co_return false;
        if (!mayRead)
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
        ports.m_send(call.m_peer, messages::AnswerChunk{call.m_start.m_key, data});
    }
    end.m_complete = read == BodyRead::End;
    end.m_checksum = checksum.value();
    end.m_unusedExtraAttempts = call.m_allowance.m_extraAttempts;
    end.m_load = ports.m_loadReport(call);
    ports.m_send(call.m_peer, end);
    co_return end.m_complete;
}

/** @returns the result of a call without a valid response head. */
BackendResult resultWithoutHead(const IncomingCall &call)
{
    if (isPastDeadline(call)) {
        // A time-out caused by a nested call must not count against this backend server.
        const bool nested = call.m_nestedActive > 0 || call.m_nestedFailed;
        return {nested ? CallResult::NotCounted : CallResult::Timeout, 0, "deadline", false};
    }
    return {CallResult::Error, 0, "backend-failed", false};
}

CallResult resultOf(const IncomingCall &call, int status, bool complete)
{
    if (call.m_cancelled)
        return CallResult::NotCounted;
    if (!complete)
        return isPastDeadline(call) ? CallResult::Timeout : CallResult::Error;
    if (status < 500)
        return CallResult::Success;
    return call.m_nestedFailed ? CallResult::NotCounted : CallResult::Error;
}

adapters::Task<BackendResult> answer(const BackendCallPorts &ports, IncomingCall &call,
                                     HttpConnection &connection)
{
    const std::optional<adapters::HttpResponseHead> head = co_await connection.readHead();
    BackendResult result;
    if (call.m_cancelled)
        co_return result;
    if (!head) {
        result = resultWithoutHead(call);
        co_return result;
    }
    result.m_status = head->m_status;
    if (adapters::equalNames(head->field("Chervilmount-Not-Run"), "true")) {
        result.m_result = CallResult::ServerRefused;
        result.m_refusal = "backend-refused";
        result.m_notRun = true;
        co_return result;
    }
    if (sizeOf(*head) > MaximumHeadBytes) {
        result.m_result = CallResult::Error;
        result.m_refusal = "response-head-too-large";
        co_return result;
    }
    messages::AnswerHead answerHead;
    answerHead.m_key = call.m_start.m_key;
    answerHead.m_status = head->m_status;
    for (const adapters::HttpField &field : head->m_fields)
        answerHead.m_fields.push_back({field.m_name, field.m_value});
    answerHead.m_bodyBytes = head->m_bodyBytes;
    answerHead.m_load = ports.m_loadReport(call);
    ports.m_send(call.m_peer, answerHead);
    const bool complete = co_await sendAnswerBody(ports, call, connection);
    result.m_result = resultOf(call, head->m_status, complete);
    co_return result;
}

} // namespace

adapters::Task<BackendResult> runAtBackend(BackendCallPorts ports, IncomingCall &call)
{
    BackendResult result;
    std::unique_ptr<HttpConnection> connection = co_await ports.m_backend.acquire(call.m_deadline);
    if (!connection) {
        result.m_result = CallResult::Error;
        result.m_refusal = "backend-unreachable";
        result.m_notRun = true;
        co_return result;
    }
    if (call.m_cancelled) {
        ports.m_backend.release(std::move(connection));
        co_return result;
    }
    call.m_connection = connection.get();
    connection->setDeadline(call.m_deadline);
    bool sent = co_await connection->writeHead(makeHead(call));
    if (sent && call.m_start.m_hasBody)
        sent = co_await sendBody(ports, call, *connection);
    // The server may respond before it has read the whole request, so the response is read anyway.
    if (!call.m_cancelled)
        result = co_await answer(ports, call, *connection);
    call.m_connection = nullptr;
    if (result.m_result != CallResult::Success)
        connection->close();
    ports.m_backend.release(std::move(connection));
    co_return result;
}

} // namespace chervilmount::node
