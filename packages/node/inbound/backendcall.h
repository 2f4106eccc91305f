#pragma once

#include "node/inbound/backendserver.h"
#include "node/inbound/incomingcall.h"

#include <chrono>
#include <functional>
#include <string>

namespace chervilmount::node {

/** How a call to the backend server ended. */
struct BackendResult
{
    overload::CallResult m_result = overload::CallResult::NotCounted;
    /** HTTP status of the backend server; 0 if none came. */
    int m_status = 0;
    /** Reason of a refusal that must be sent to the calling node; empty if it was answered. */
    std::string m_refusal;
    /** Whether the refused call is known not to have run. */
    bool m_notRun = false;
};

/** What a running call needs from its node. */
struct BackendCallPorts
{
    BackendServer &m_backend;
    const SendFrame &m_send;
    /** Load and threshold for the response of a call. */
    std::function<messages::LoadReport(const IncomingCall &)> m_loadReport;
};

/** Sends the call to the backend server and streams the response to the calling node. */
adapters::Task<BackendResult> runAtBackend(BackendCallPorts ports, IncomingCall &call);

} // namespace chervilmount::node
