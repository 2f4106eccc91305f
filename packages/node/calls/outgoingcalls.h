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

/** One attempt of a call that this node has sent to the node beside a backend server. */
struct OutgoingCall
{
    explicit OutgoingCall(const boost::asio::any_io_executor &executor)
        : m_changed(std::make_shared<adapters::Signal>(executor))
    {
    }

    messages::CallKey m_key;
    adapters::PeerHandle m_peer;
    /** Notified at each change of the fields below. */
    std::shared_ptr<adapters::Signal> m_changed;
    /** True if CallStart has not reached the peer. */
    bool m_undelivered = false;
    /** True if the peer broke the protocol. */
    bool m_broken = false;
    std::optional<messages::AnswerHead> m_head;
    std::deque<std::string> m_chunks;
    std::uint64_t m_unreadBytes = 0;
    std::optional<messages::AnswerEnd> m_end;
    std::optional<messages::Refusal> m_refusal;
    /** Bytes of the request body that may be sent now. */
    std::uint64_t m_bodyCredit = 0;

    /** @returns true if nothing further will arrive. */
    bool ended() const { return m_undelivered || m_broken || m_end || m_refusal; }
};

/** The calls that this node waits for. */
class OutgoingCalls
{
public:
    using SendFrame = std::function<bool(const adapters::PeerHandle &, const messages::Frame &)>;

    /** @param send sends a frame; returns false if it was given up at once. */
    OutgoingCalls(const boost::asio::any_io_executor &executor, SendFrame send);

    /** Sends CallStart; the key's call number is set here. */
    std::shared_ptr<OutgoingCall> start(const adapters::PeerHandle &peer,
                                        messages::CallStart start);

    /** Sends a part of the request body and uses up credit. */
    void sendBody(OutgoingCall &call, std::string data, bool last);

    /** Lets the peer send more of the response body. */
    void acknowledge(OutgoingCall &call, std::size_t bytes);

    /** Forgets the call; cancels it at the peer if it has not ended. */
    void finish(const std::shared_ptr<OutgoingCall> &call);

    /** Takes a frame that a peer sent in answer to a call. */
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);

    /** Takes a frame of this node that was given up. */
    void undelivered(const adapters::PeerHandle &to, const messages::Frame &frame);

    std::size_t active() const { return m_calls.size(); }

    /** @returns the number of frames for attempts that are no longer waited for. */
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
