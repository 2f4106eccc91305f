#pragma once

#include "adapters/peerlink/peertransport.h"
#include "adapters/tasks/signal.h"
#include "messages/frames/frames.h"
#include "node/inbound/backendserver.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chervilmount::node {

/** A call that another node has sent to the backend server beside this node. */
struct IncomingCall
{
    explicit IncomingCall(const boost::asio::any_io_executor &executor)
        : m_changed(executor)
    {
    }

    adapters::PeerHandle m_peer;
    messages::CallStart m_start;
    std::chrono::steady_clock::time_point m_deadline;
    /** Opaque token under which the backend server's nested calls find this call. */
    std::string m_token;
    /** Extra attempts that the subtree may still use. */
    int m_extraAttempts = 0;
    std::deque<std::string> m_body;
    std::uint64_t m_bodyCredit = 0;
    bool m_bodyComplete = false;
    /** Bytes of the response that may be sent to the calling node now. */
    std::uint64_t m_answerCredit = 0;
    bool m_cancelled = false;
    adapters::Signal m_changed;
    /** Set while the call uses a connection. */
    adapters::HttpConnection *m_connection = nullptr;
};

/** Counters of the calls to the backend server. */
struct IncomingCounters
{
    std::uint64_t m_started = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_droppedFrames = 0;
};

/** Runs the calls to the backend server beside this node. */
class IncomingCalls
{
public:
    using SendFrame = std::function<bool(const adapters::PeerHandle &, const messages::Frame &)>;

    /** @param maximumCalls further calls are refused as not run. */
    IncomingCalls(const boost::asio::any_io_executor &executor, BackendServer &backend,
                  std::size_t maximumCalls, SendFrame send);

    /** Takes a frame of a calling node. */
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);

    /** @returns the active call with this token, or nothing. */
    std::shared_ptr<IncomingCall> findByToken(const std::string &token) const;

    /** From now on, new calls are refused as not run. */
    void setLeaving() { m_leaving = true; }

    std::size_t active() const { return m_calls.size(); }
    /** @returns the number of calls that are at the backend server. */
    std::size_t atBackend() const { return m_atBackend; }
    const IncomingCounters &counters() const { return m_counters; }
    messages::LoadReport loadReport() const;

private:
    using CallId = std::pair<adapters::PeerHandle, messages::CallKey>;

    void startCall(const adapters::PeerHandle &from, messages::CallStart &&start);
    void receiveBody(const adapters::PeerHandle &from, messages::CallBody &&body);
    void cancel(IncomingCall &call);
    std::shared_ptr<IncomingCall> find(const adapters::PeerHandle &from,
                                       const messages::CallKey &key);
    /** @returns the reason for a refusal, or an empty text. */
    std::string admissionRefusal(const messages::CallStart &start,
                                 std::chrono::steady_clock::time_point now) const;
    void refuse(const adapters::PeerHandle &to, const messages::CallStart &start,
                const std::string &reason, bool notRun, int unusedExtraAttempts);

    adapters::Task<> run(std::shared_ptr<IncomingCall> call);
    adapters::Task<> runAtBackend(IncomingCall &call);
    adapters::Task<bool> sendRequest(IncomingCall &call, adapters::HttpConnection &connection);
    adapters::Task<bool> sendRequestBody(IncomingCall &call, adapters::HttpConnection &connection);
    adapters::Task<bool> answer(IncomingCall &call, adapters::HttpConnection &connection);
    adapters::Task<bool> sendAnswerBody(IncomingCall &call, adapters::HttpConnection &connection);

    boost::asio::any_io_executor m_executor;
    BackendServer &m_backend;
    std::size_t m_maximumCalls;
    SendFrame m_send;
    bool m_leaving = false;
    std::size_t m_atBackend = 0;
    IncomingCounters m_counters;
    std::map<CallId, std::shared_ptr<IncomingCall>> m_calls;
    std::map<std::string, std::shared_ptr<IncomingCall>> m_tokens;
};

} // namespace chervilmount::node
