#include "node/settings/nodesettings.h"

#include "model/digest/keydigester.h"
#include "model/findings/findingserror.h"
#include "node/settings/settingsreader.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace chervilmount::node {

namespace {

constexpr std::uint64_t MaximumBytes = 1ULL << 32U;
constexpr std::uint64_t MaximumConnections = 1000000;

constexpr std::size_t MeshKeyLength = 40;

void readSize(SettingsReader &reader, const char *name, std::size_t &target)
{
    std::uint64_t number = target;
    reader.read(name, number, 1, MaximumBytes);
    target = number;
}

void readListenerLimits(SettingsReader &parent, const char *name, const std::string &source,
                        model::Findings &findings, adapters::HttpLimits &limits)
{
    SettingsReader reader(parent.child(name), source, parent.pointer() + "/" + name, findings);
    readSize(reader, "headBytes", limits.m_headBytes);
    reader.read("bodyBytes", limits.m_bodyBytes, 0, MaximumBytes);
    std::uint64_t connections = limits.m_connections;
    reader.read("connections", connections, 1, MaximumConnections);
    limits.m_connections = connections;
    reader.read("headTimeoutMilliseconds", limits.m_headTimeout);
    reader.read("idleTimeoutMilliseconds", limits.m_idleTimeout);
    reader.read("progressTimeoutMilliseconds", limits.m_progressTimeout);
    reader.reportUnknown();
}

void readLimits(SettingsReader &parent, const std::string &source, model::Findings &findings,
                NodeSettings &settings)
{
    SettingsReader reader(parent.child("limits"), source, "/limits", findings);
    readListenerLimits(reader, "callers", source, findings, settings.m_callerLimits);
    readListenerLimits(reader, "local", source, findings, settings.m_localLimits);
    readListenerLimits(reader, "operators", source, findings, settings.m_operatorLimits);
    readSize(reader, "backendHeadBytes", settings.m_backendHeadBytes);
    reader.read("backendConnectTimeoutMilliseconds", settings.m_backendConnectTimeout);
    readSize(reader, "replayBytes", settings.m_replayBytes);
    readSize(reader, "incomingCalls", settings.m_incomingCalls);
    readSize(reader, "onceOnlyBodyBytes", settings.m_onceOnlyBodyBytes);
    readSize(reader, "recordedResponseBytes", settings.m_recordedResponseBytes);
    reader.reportUnknown();
}

void readMesh(SettingsReader &parent, const std::string &source, model::Findings &findings,
              adapters::MeshKeys &keys)
{
    SettingsReader reader(parent.child("mesh", true), source, "/mesh", findings);
    reader.read("publicKey", keys.m_publicKey, true);
    reader.read("secretKey", keys.m_secretKey, true);
    reader.read("acceptedKeys", keys.m_acceptedKeys);
    if (keys.m_acceptedKeys.empty())
        keys.m_acceptedKeys.push_back(keys.m_publicKey);
    keys.m_serverKey = keys.m_publicKey;
    reader.read("serverKey", keys.m_serverKey);
    for (const auto &[name, key] :
         {std::pair<const char *, const std::string &>("publicKey", keys.m_publicKey),
          std::pair<const char *, const std::string &>("secretKey", keys.m_secretKey)}) {
        if (key.size() != MeshKeyLength)
            reader.report(name, "not a CURVE key", "use 40 characters of Z85");
    }
    reader.reportUnknown();
}

void readListeners(SettingsReader &parent, const std::string &source, model::Findings &findings,
                   NodeSettings &settings)
{
    SettingsReader reader(parent.child("listen", true), source, "/listen", findings);
    reader.readAddress("callers", settings.m_callerAddress, true);
    reader.readAddress("local", settings.m_localAddress, true);
    reader.readAddress("operators", settings.m_operatorAddress, true);
    reader.readAddress("peers", settings.m_peerAddress, true);
    settings.m_advertisedAddress = settings.m_peerAddress;
    reader.readAddress("advertisedPeers", settings.m_advertisedAddress);
    reader.reportUnknown();
}

void readPlatform(SettingsReader &parent, const std::string &source, model::Findings &findings,
                  adapters::PlatformSettings &platform)
{
    SettingsReader reader(parent.child("platform", true), source, "/platform", findings);
    reader.readAddress("table", platform.m_tableAddress, true);
    reader.readAddress("objects", platform.m_objectAddress, true);
    reader.read("timeoutMilliseconds", platform.m_timeout);
    readSize(reader, "responseBytes", platform.m_responseBytes);
    reader.reportUnknown();
}

void readLog(SettingsReader &parent, const std::string &source, model::Findings &findings,
             NodeSettings &settings)
{
    SettingsReader reader(parent.child("log"), source, "/log", findings);
    reader.read("level", settings.m_logLevel);
    reader.read("file", settings.m_logFile);
    constexpr std::array<std::string_view, 5> Levels{"off", "error", "warn", "info", "debug"};
    if (std::find(Levels.begin(), Levels.end(), settings.m_logLevel) == Levels.end())
        reader.report("level", "unknown level", "use off, error, warn, info or debug");
    reader.reportUnknown();
}

} // namespace

NodeSettings parseNodeSettings(const std::string &text, const std::string &source)
{
    boost::system::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error || !document.is_object()) {
        throw model::FindingsError(
                {{source, "", "", "not a JSON object",
                  "correct the syntax" + (error ? ": " + error.message() : "")}});
    }
    NodeSettings settings;
    model::Findings findings;
    SettingsReader reader(document.as_object(), source, "", findings);
    reader.read("failureDomain", settings.m_failureDomain, true);
    readListeners(reader, source, findings, settings);
    reader.read("peers", settings.m_peers);
    readPlatform(reader, source, findings, settings.m_platform);
    readMesh(reader, source, findings, settings.m_meshKeys);
    reader.read("digestKey", settings.m_digestKey, true);
    if (settings.m_digestKey.size() < model::MinimumDigestKeyBytes)
        reader.report("digestKey", "too short", "use at least 32 characters");
    readLimits(reader, source, findings, settings);
    reader.read("linkBytesPerSecond", settings.m_linkBytesPerSecond, 0, MaximumBytes);
    reader.read("heartbeatIntervalMilliseconds", settings.m_heartbeatInterval);
    reader.read("configurationPollIntervalMilliseconds", settings.m_configurationPollInterval);
    readLog(reader, source, findings, settings);
    reader.reportUnknown();
    if (!findings.empty())
        throw model::FindingsError(findings);
    return settings;
}

} // namespace chervilmount::node
