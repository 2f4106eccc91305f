#pragma once

#include "node/inbound/backendcall.h"
#include "node/inbound/backendserver.h"
#include "node/inbound/incomingcall.h"
#include "node/record/decisionrecorder.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace chervilmount::node {

/** Admits, queues or refuses calls to the backend server of this node, and runs them. */
class IncomingCalls
{
public:
    /** @param maximumCalls limit of active calls; further calls are refused as not run. */
    IncomingCalls(const boost::asio::any_io_executor &executor, BackendServer &backend,
                  DecisionRecorder &recorder, std::size_t maximumCalls, SendFrame send);
    ~IncomingCalls();
    IncomingCalls(const IncomingCalls &) = delete;
    IncomingCalls &operator=(const IncomingCalls &) = delete;

    /** Handles a frame of a calling node. */
    void receive(const adapters::PeerHandle &from, messages::Frame &&frame);

    /** Applies an announcement of the backend server. */
    void announce(const Announcement &announcement, std::chrono::steady_clock::time_point now);

    /** @returns the active call with this token, or null. */
    std::shared_ptr<IncomingCall> findByToken(const std::string &token) const;

    /** If @p leaving, new calls are refused as not run. */
    void setLeaving(bool leaving);

    std::size_t active() const { return m_calls.size(); }
    const overload::Admission &admission() const { return m_admission; }
    std::uint64_t droppedFrames() const { return m_droppedFrames; }

private:
    using CallId = std::pair<adapters::PeerHandle, messages::CallKey>;
    using CallPointer = std::shared_ptr<IncomingCall>;

    messages::LoadReport loadReport(const IncomingCall *call) const;
    void startCall(const adapters::PeerHandle &from, messages::CallStart &&start);
    void admit(const CallPointer &call);
    void receiveBody(const adapters::PeerHandle &from, messages::CallBody &&body);
    void cancel(const CallPointer &call);
    CallPointer find(const adapters::PeerHandle &from, const messages::CallKey &key);
    /** @returns the reason to refuse the call before admission control, or an empty string. */
    std::string earlyRefusal(const messages::CallStart &start,
                             std::chrono::steady_clock::time_point now) const;
    void refuse(const IncomingCall &call, const std::string &reason, bool notRun);
    void forget(const CallPointer &call);
    void apply(const overload::AdmissionEffects &effects);
    void launch(const CallPointer &call);
    adapters::Task<> run(CallPointer call);
    void finish(const CallPointer &call, const BackendResult &result);
    adapters::Task<> tickAdmission();

    boost::asio::any_io_executor m_executor;
    BackendServer &m_backend;
    DecisionRecorder &m_recorder;
    std::size_t m_maximumCalls;
    SendFrame m_send;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    overload::Admission m_admission;
    overload::NameTable m_organisations;
    std::string m_admittedAddress;
    int m_peakInFlight = 0;
    overload::CallNumber m_nextNumber = 1;
    std::uint64_t m_droppedFrames = 0;
    adapters::Signal m_queued;
    std::map<CallId, CallPointer> m_calls;
    std::unordered_map<overload::CallNumber, CallPointer> m_byNumber;
    std::unordered_map<std::string, CallPointer> m_tokens;
};

} // namespace chervilmount::node
