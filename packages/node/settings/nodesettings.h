#pragma once

#include "adapters/http/httplimits.h"
#include "adapters/peerlink/meshkeys.h"
#include "adapters/platform/platformclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Settings of one node, read from a JSON file at the start. */
struct NodeSettings
{
    std::string m_failureDomain;
    /** Listener for callers, "ip:port". */
    std::string m_callerAddress;
    /** Listener for the backend server in this node's slot. */
    std::string m_localAddress;
    /** Listener for operators. */
    std::string m_operatorAddress;
    /** Address to bind for other nodes. */
    std::string m_peerAddress;
    /** Address under which other nodes reach this one; m_peerAddress if not set. */
    std::string m_advertisedAddress;
    /** Addresses of peers known at the start. */
    std::vector<std::string> m_peers;
    adapters::PlatformSettings m_platform;
    adapters::MeshKeys m_meshKeys;
    /** Key of the deployment for key digests, as raw bytes. */
    std::string m_digestKey;
    adapters::HttpLimits m_callerLimits;
    adapters::HttpLimits m_localLimits;
    adapters::HttpLimits m_operatorLimits;
    /** Largest response head accepted from a backend server, in bytes. */
    std::size_t m_backendHeadBytes = 32UL * 1024;
    /** Longest time for a new connection to the backend server. */
    std::chrono::milliseconds m_backendConnectTimeout{1000};
    /** Largest part of a request body that is kept for further attempts, in bytes. */
    std::size_t m_replayBytes = 256UL * 1024;
    /** Calls from other nodes that may be active at once. */
    std::size_t m_incomingCalls = 10000;
    /** Largest body of a once-only request, which is held in memory. */
    std::size_t m_onceOnlyBodyBytes = 1024UL * 1024;
    /** Largest response of a once-only request that is recorded for repeats. */
    std::size_t m_recordedResponseBytes = 16UL * 1024 * 1024;
    /** Rate of the paid link between regions, in bytes a second each way. */
    std::uint64_t m_linkBytesPerSecond = 30ULL * 1000 * 1000 / 8;
    std::chrono::milliseconds m_heartbeatInterval{1000};
    std::chrono::milliseconds m_configurationPollInterval{500};
    /** log4cxx level: "off", "error", "warn", "info" or "debug". */
    std::string m_logLevel = "info";
    /** File that the log goes to; standard error if empty. */
    std::string m_logFile;
};

/**
 * Parses and checks the settings of a node.
 * @param text the JSON document.
 * @param source name of the file, for the findings.
 * @throws model::FindingsError with all findings.
 */
NodeSettings parseNodeSettings(const std::string &text, const std::string &source);

} // namespace chervilmount::node
