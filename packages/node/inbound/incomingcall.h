#pragma once

#include "adapters/http/httpconnection.h"
#include "adapters/peerlink/peertransport.h"
#include "adapters/tasks/signal.h"
#include "messages/frames/frames.h"
#include "overload/overload.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace chervilmount::node {

/** Sends a frame; returns false if it was dropped immediately. */
using SendFrame = std::function<bool(const adapters::PeerHandle &, const messages::Frame &)>;

/** A call that another node has sent to the backend server of this node. */
struct IncomingCall
{
    explicit IncomingCall(const boost::asio::any_io_executor &executor)
        : m_changed(executor)
    {
    }

    /** Identifies the call in the admission control. */
    overload::CallNumber m_number = 0;
    adapters::PeerHandle m_peer;
    messages::CallStart m_start;
    std::chrono::steady_clock::time_point m_deadline;
    /** Opaque token by which nested calls of the backend server refer to this call. */
    std::string m_token;
    /** Remaining attempts for nested calls of the backend server. */
    overload::AttemptAllowance m_allowance;
    /** Lowest admission threshold reported by nested calls. */
    overload::Rank m_calleeThreshold = overload::HighestRank;
    bool m_nestedFailed = false;
    int m_nestedActive = 0;
    std::chrono::steady_clock::time_point m_nestedStartedAt;
    /** Time during which at least one nested call was active. */
    std::chrono::nanoseconds m_nestedTime{0};
    std::deque<std::string> m_body;
    /** Bytes of the request body that the calling node may still send. */
    std::uint64_t m_bodyCredit = 0;
    bool m_bodyComplete = false;
    /** Bytes of the response body that may still be sent to the calling node. */
    std::uint64_t m_answerCredit = 0;
    bool m_started = false;
    std::chrono::steady_clock::time_point m_startedAt;
    bool m_cancelled = false;
    adapters::Signal m_changed;
    /** Set while the call uses a connection. */
    adapters::HttpConnection *m_connection = nullptr;
};

/** Records the start of a nested call. */
void beginNestedCall(IncomingCall &call, std::chrono::steady_clock::time_point now);

/** Records the end of a nested call. */
void endNestedCall(IncomingCall &call, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::node
