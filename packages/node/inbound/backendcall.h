#pragma once

#include "node/inbound/backendserver.h"
#include "node/inbound/incomingcall.h"

#include <chrono>
#include <functional>
#include <string>

namespace chervilmount::node {

/** Outcome of a call to the backend server. */
struct BackendResult
{
    overload::CallResult m_result = overload::CallResult::NotCounted;
    /** HTTP status of the backend server; 0 if there was none. */
    int m_status = 0;
    /** Reason of the refusal to send to the calling node; empty if a response was sent. */
    std::string m_refusal;
    /** Whether the refused call is known not to have run. */
    bool m_notRun = false;
};

/** Dependencies of a running call. */
struct BackendCallPorts
{
    BackendServer &m_backend;
    const SendFrame &m_send;
    /** @returns the load and threshold to report with the response of a call. */
    std::function<messages::LoadReport(const IncomingCall &)> m_loadReport;
};

/** Sends the call to the backend server and streams the response to the calling node. */
adapters::Task<BackendResult> runAtBackend(BackendCallPorts ports, IncomingCall &call);

} // namespace chervilmount::node
