#include "node/calls/outgoingcalls.h"

#include "node/calls/callprotocol.h"

#include <utility>

namespace chervilmount::node {

namespace {

void apply(OutgoingCall &call, messages::AnswerHead &&frame)
{
    if (call.m_head)
        call.m_broken = true;
    else
        call.m_head = std::move(frame);
}

void apply(OutgoingCall &call, messages::AnswerChunk &&frame)
{
    call.m_unreadBytes += frame.m_data.size();
    // A peer that exceeds the window would make this node buffer an unbounded response.
    if (!call.m_head || call.m_unreadBytes > AnswerWindowBytes)
        call.m_broken = true;
    else
        call.m_chunks.push_back(std::move(frame.m_data));
}

void apply(OutgoingCall &call, messages::AnswerEnd &&frame)
{
    if (call.m_head)
        call.m_end = frame;
    else
        call.m_broken = true;
}

void apply(OutgoingCall &call, messages::Refusal &&frame)
{
    if (call.m_head)
        call.m_broken = true;
    else
        call.m_refusal = std::move(frame);
}

void apply(OutgoingCall &call, messages::BodyWindow &&frame)
{
    call.m_bodyCredit += frame.m_bytes;
}

} // namespace

OutgoingCalls::OutgoingCalls(const boost::asio::any_io_executor &executor, SendFrame send)
    : m_executor(executor)
    , m_send(std::move(send))
{
}

std::shared_ptr<OutgoingCall> OutgoingCalls::start(const adapters::PeerHandle &peer,
                                                   messages::CallStart start)
{
    auto call = std::make_shared<OutgoingCall>(m_executor);
    start.m_key.m_call = m_nextCall++;
    call->m_key = start.m_key;
    call->m_peer = peer;
    call->m_bodyCredit = BodyWindowBytes;
    m_calls.emplace(call->m_key, call);
    if (!m_send(peer, start))
        call->m_undelivered = true;
    return call;
}

void OutgoingCalls::sendBody(OutgoingCall &call, std::string data, bool last)
{
    call.m_bodyCredit -= data.size();
    if (!m_send(call.m_peer, messages::CallBody{call.m_key, std::move(data), last}))
        call.m_broken = true;
}

void OutgoingCalls::acknowledge(OutgoingCall &call, std::size_t bytes)
{
    call.m_unreadBytes -= bytes;
    if (!call.ended())
        m_send(call.m_peer, messages::AnswerWindow{call.m_key, static_cast<std::uint32_t>(bytes)});
}

void OutgoingCalls::finish(const std::shared_ptr<OutgoingCall> &call)
{
    if (m_calls.erase(call->m_key) == 0)
        return;
    const bool peerIsDone = call->m_undelivered || call->m_end || call->m_refusal;
    if (!peerIsDone)
        m_send(call->m_peer, messages::CallCancel{call->m_key});
}

OutgoingCall *OutgoingCalls::find(const adapters::PeerHandle &from, const messages::CallKey &key)
{
    const auto found = m_calls.find(key);
    if (found == m_calls.end() || found->second->m_peer != from)
        return nullptr;
    return found->second.get();
}

void OutgoingCalls::receive(const adapters::PeerHandle &from, messages::Frame &&frame)
{
    std::visit(
            [this, &from]<typename Content>(Content &&content) {
                if constexpr (requires(OutgoingCall & call) {
                                  apply(call, std::forward<Content>(content));
                              }) {
                    OutgoingCall *call = find(from, content.m_key);
                    if (call == nullptr || call->ended()) {
                        ++m_droppedFrames;
                        return;
                    }
                    apply(*call, std::forward<Content>(content));
                    call->m_changed->notify();
                }
            },
            std::move(frame));
}

void OutgoingCalls::undelivered(const adapters::PeerHandle &to, const messages::Frame &frame)
{
    if (const messages::CallStart *start = std::get_if<messages::CallStart>(&frame)) {
        if (OutgoingCall *call = find(to, start->m_key)) {
            call->m_undelivered = true;
            call->m_changed->notify();
        }
    } else if (const messages::CallBody *body = std::get_if<messages::CallBody>(&frame)) {
        OutgoingCall *call = find(to, body->m_key);
        if (call != nullptr && !call->ended()) {
            call->m_broken = true;
            call->m_changed->notify();
        }
    }
}

} // namespace chervilmount::node
