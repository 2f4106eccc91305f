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

/** Sends a frame; returns false if it was given up at once. */
using SendFrame = std::function<bool(const adapters::PeerHandle &, const messages::Frame &)>;

/** A call that another node has sent to the backend server beside this node. */
struct IncomingCall
{
    explicit IncomingCall(const boost::asio::any_io_executor &executor)
        : m_changed(executor)
    {
    }

    /** Number at the admission. */
    overload::CallNumber m_number = 0;
    adapters::PeerHandle m_peer;
    messages::CallStart m_start;
    std::chrono::steady_clock::time_point m_deadline;
    /** Opaque token under which the backend server's nested calls find this call. */
    std::string m_token;
    /** What the nested calls of the backend server may still use. */
    overload::AttemptAllowance m_allowance;
    /** Lowest threshold that came back with nested calls. */
    overload::Rank m_calleeThreshold = overload::HighestRank;
    bool m_nestedFailed = false;
    int m_nestedActive = 0;
    std::chrono::steady_clock::time_point m_nestedSince;
    /** Time during which at least one nested call was active. */
    std::chrono::nanoseconds m_nestedTime{0};
    std::deque<std::string> m_body;
    /** Bytes of the request body that the calling node may send now. */
    std::uint64_t m_bodyCredit = 0;
    bool m_bodyComplete = false;
    /** Bytes of the response that may be sent to the calling node now. */
    std::uint64_t m_answerCredit = 0;
    bool m_started = false;
    std::chrono::steady_clock::time_point m_startedAt;
    bool m_cancelled = false;
    adapters::Signal m_changed;
    /** Set while the call uses a connection. */
    adapters::HttpConnection *m_connection = nullptr;
};

/** A nested call of the backend server begins. */
void beginNested(IncomingCall &call, std::chrono::steady_clock::time_point now);

/** A nested call of the backend server has ended. */
void endNested(IncomingCall &call, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::node
