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

/** Settings of one node, read from a JSON file at start-up. */
struct NodeSettings
{
    std::string m_failureDomain;
    /** Listener for callers, "ip:port". */
    std::string m_callerAddress;
    /** Listener for the backend server of this node. */
    std::string m_localAddress;
    /** Listener for operators. */
    std::string m_operatorAddress;
    /** Address to bind for other nodes. */
    std::string m_peerAddress;
    /** Address at which other nodes reach this one; defaults to m_peerAddress. */
    std::string m_advertisedAddress;
    /** Addresses of peers to contact at start-up. */
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
    /** Time-out for connecting to the backend server. */
    std::chrono::milliseconds m_backendConnectTimeout{1000};
    /** Largest request body that is buffered for retries, in bytes. */
    std::size_t m_replayBytes = 256UL * 1024;
    /** Maximum number of concurrent calls from other nodes. */
    std::size_t m_incomingCalls = 10000;
    /** Largest body of a once-only request in bytes; it is buffered in memory. */
    std::size_t m_onceOnlyBodyBytes = 1024UL * 1024;
    /** Largest response of a once-only request that is recorded for repeats, in bytes. */
    std::size_t m_recordedResponseBytes = 16UL * 1024 * 1024;
    /** Bandwidth of the paid link between regions, in bytes per second and direction. */
    std::uint64_t m_linkBytesPerSecond = 30ULL * 1000 * 1000 / 8;
    std::chrono::milliseconds m_heartbeatInterval{1000};
    std::chrono::milliseconds m_configurationPollInterval{500};
    /** log4cxx level: "off", "error", "warn", "info" or "debug". */
    std::string m_logLevel = "info";
    /** Log file; standard error if empty. */
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
