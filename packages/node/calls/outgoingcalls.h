#pragma once

#include "adapters/peerlink/peertransport.h"
#include "adapters/tasks/signal.h"
#include "messages/frames/frames.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chervilmount::node {

/** One attempt of a call that this node has sent to the node of a backend server. */
struct OutgoingCall
{
    explicit OutgoingCall(const boost::asio::any_io_executor &executor)
        : m_changed(std::make_shared<adapters::Signal>(executor))
    {
    }

    messages::CallKey m_key;
    adapters::PeerHandle m_peer;
    /** Notified when any of the fields below changes. */
    std::shared_ptr<adapters::Signal> m_changed;
    /** True if CallStart has not reached the peer. */
    bool m_undelivered = false;
    /** True if the peer violated the protocol or a part of the request body was not delivered. */
    bool m_broken = false;
    std::optional<messages::AnswerHead> m_head;
    std::deque<std::string> m_chunks;
    std::uint64_t m_unreadBytes = 0;
    std::optional<messages::AnswerEnd> m_end;
    std::optional<messages::Refusal> m_refusal;
    /** Bytes of the request body that the flow control window still allows to send. */
    std::uint64_t m_bodyCredit = 0;

    /** @returns true if no further frames are expected. */
    bool ended() const { return m_undelivered || m_broken || m_end || m_refusal; }
};

/** The attempts whose responses this node is waiting for. */
class OutgoingCalls
{
public:
    using SendFrame = std::function<bool(const adapters::PeerHandle &, const messages::Frame &)>;

    /** @param send sends a frame; returns false if it was dropped immediately. */
    OutgoingCalls(const boost::asio::any_io_executor &executor, SendFrame send);

    /** Sends CallStart and assigns the call number of its key. */
    std::shared_ptr<OutgoingCall> start(const adapters::PeerHandle &peer,
                                        messages::CallStart start);

    /** Sends a part of the request body and consumes credit. */
    void sendBody(OutgoingCall &call, std::string data, bool last);

    /** Acknowledges received bytes of the response body, which reopens the window. */
    void acknowledge(OutgoingCall &call, std::size_t bytes);

    /** Removes the call; cancels it at the peer if it has not ended. */
    void finish(const std::shared_ptr<OutgoingCall> &call);

    /** Handles a frame that a peer sent in response to a call. */
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);

    /** Handles a frame of this node that could not be delivered. */
    void undelivered(const adapters::PeerHandle &to, const messages::Frame &frame);

    std::size_t active() const { return m_calls.size(); }

    /** @returns the number of received frames that belonged to no active attempt. */
    std::uint64_t droppedFrames() const { return m_droppedFrames; }

private:
    OutgoingCall *find(const adapters::PeerHandle &from, const messages::CallKey &key);

    boost::asio::any_io_executor m_executor;
    SendFrame m_send;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_droppedFrames = 0;
    std::map<messages::CallKey, std::shared_ptr<OutgoingCall>> m_calls;
};

} // namespace chervilmount::node
