#pragma once

#include "relay/http/backendpool.h"
#include "traffic/allotment/rateshare.h"
#include "traffic/gate/gate.h"
#include "traffic/placement/placement.h"
#include "traffic/retry/repeatbudget.h"
#include "traffic/retry/secondattempt.h"
#include "traffic/start/startwait.h"
#include "traffic/stop/stop.h"
#include "traffic/treeadmission/treeadmission.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** Names of the header fields that callers, nodes and backend servers exchange. */
struct HeaderNames
{
    /** Identifier of one attempt of a caller; echoed in the response. */
    std::string m_attempt;
    /** Milliseconds that the sender waits for the response. */
    std::string m_deadline;
    /** A caller's key; never forwarded. */
    std::string m_key;
    /** Service of the node at which the request entered. */
    std::string m_callerService;
    /** Organisation that the caller's key belongs to. */
    std::string m_organisation;
    /** Identifier of the backend server that has to run the request; any other one refuses it. */
    std::string m_expectedInstance;
    /** Identifier of the backend server that answers a status check. */
    std::string m_instance;
    /** Proof that a response comes from a backend server. */
    std::string m_seal;
    /** Set if the backend server has not run the request. */
    std::string m_notRun;
    /** "running,waiting,slots" of the backend server. */
    std::string m_load;
    /** Requests a second that the backend server takes from all nodes together, for as long as its
     * answers name it. It may come under any of these names. */
    std::vector<std::string> m_requestLimit;
    /** "1" in the answers of a backend server that is leaving. Several names as above. */
    std::vector<std::string> m_leaving;
};

/** Settings of one node. */
struct RelaySettings
{
    /** Name of the node, unique in the fleet. */
    std::string m_node;
    std::string m_failureDomain;
    std::string m_region;
    /** Service of the local backend server. */
    std::string m_service;
    /** Address of the backend server, "ip:port". */
    std::string m_backendAddress;
    /** Listener for callers on this machine and for the backend server's own calls. */
    std::string m_callerAddress;
    /** Listener for readiness checks. */
    std::string m_readinessAddress;
    std::string m_readinessPath = "/readiness";
    /** Listener for the backend server's announcements. */
    std::string m_announcementAddress;
    /** Address at which other nodes reach this one. */
    std::string m_peerAddress;
    /** Listener for other nodes, if it differs from m_peerAddress, e.g. behind a forwarded port. */
    std::string m_peerListenAddress;
    /** Listener for metrics; none if empty. */
    std::string m_metricsAddress;
    std::size_t m_maximumSessions = 2500;
    /** Requests of one connection that are handled at once. */
    std::size_t m_requestsAtOnce = 8;
    /** Maximum bytes of request and response bodies that the node holds in memory. */
    std::size_t m_bodyBytes = 64UL * 1024 * 1024;
    HeaderNames m_headers;
    BackendPoolSettings m_backendPool;
    traffic::GateSettings m_gate;
    traffic::PlacementSettings m_placement;
    traffic::TreeAdmissionSettings m_treeAdmission;
    traffic::RetryAfterSettings m_retryAfter;
    traffic::RepeatBudgetSettings m_repeats;
    traffic::SecondAttemptSettings m_secondAttempts;
    /** Budget for requests that are resent to the local backend server after a stale keep-alive
     * connection was reset. Together with m_repeats it stays below 0.2 repeats a request. */
    traffic::RepeatBudgetSettings m_resends{.m_ratio = 0.03, .m_keptForImportant = 0.0};
    traffic::RateShareSettings m_rates;
    traffic::StartWaitSettings m_startWait;
    traffic::StopSettings m_stop;
    /** log4cxx level: "off", "error", "warn", "info" or "debug". */
    std::string m_logLevel = "info";
};

} // namespace chervilmount::relay
