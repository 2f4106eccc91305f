#pragma once

#include "platform/soak/faultproxy.h"
#include "platform/soak/nodeprocess.h"
#include "platform/soak/versionwatch.h"
#include "platform/standin/backend.h"
#include "platform/standin/rowstore.h"
#include "relay/http/httpclientconnection.h"
#include "relay/timers/timerqueue.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** What a soak plays. */
struct SoakSettings
{
    /** Path of the node's program. */
    std::string m_program;
    /** Folder for settings and logs. */
    std::string m_folder;
    std::uint64_t m_seed = 1;
    std::chrono::seconds m_duration{30};
    int m_nodes = 8;
    /** Other nodes reach each node through a proxy; needs a program that has the setting for it. */
    bool m_usesPeerProxies = true;
    /** No faults but drills of the store: a node that starts reads the policy and tells the others,
     * so that a version which all have missed does not stay unknown. */
    bool m_playsDrillsOnly = false;
    /** Delay of all links to the store, which is not excused: shows that the check finds versions
     * that come into force late. */
    std::chrono::milliseconds m_unexcusedDelay{0};
};

/** What a soak has found. */
struct SoakReport
{
    std::vector<std::string> m_findings;
    std::vector<std::string> m_faults;
    std::uint64_t m_judged = 0;
    std::uint64_t m_excused = 0;
    std::uint64_t m_unanswered = 0;
    std::size_t m_versions = 0;
};

/**
 * Runs nodes as processes on loopback, with a store, backend servers, callers and proxies in this
 * process. Versions of the policy are written in series while faults come from outside the nodes;
 * callers on kept connections check by what they see that each version comes into force in time.
 */
class PolicySoak
{
public:
    explicit PolicySoak(SoakSettings settings);

    /** Plays the soak. @throws std::runtime_error if the nodes do not become ready. */
    SoakReport run();

private:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Milliseconds = std::chrono::milliseconds;
    using Connection = std::shared_ptr<chervilmount::relay::HttpClientConnection>;

    /** A node with what stands around it. */
    struct SoakNode
    {
        std::string m_name;
        std::string m_service;
        std::string m_callerAddress;
        std::string m_announcementAddress;
        std::string m_storeAddress;
        std::unique_ptr<Backend> m_backend;
        std::unique_ptr<FaultProxy> m_storeProxy;
        std::unique_ptr<FaultProxy> m_peerProxy;
        std::unique_ptr<NodeProcess> m_process;
        WatchedNode m_watched;
        /** Kept connection of the callers; replaced when it has ended. */
        Connection m_callers;
        /** The connection is being made, or a request on it is not answered yet. */
        bool m_isCalling = false;
        int m_announcements = 0;
        /** Value of NodeProcess::waitedForProcessor() at the last look. */
        std::chrono::nanoseconds m_waited{0};
        /** A fault of the process or its links is under way. */
        bool m_isHarmed = false;
    };

    void addNode(int index);
    std::string settingsText(const SoakNode &node, const std::string &peerAddress,
                             const std::string &readinessAddress) const;
    void writeVersion();
    void scheduleVersion(Milliseconds delay, int inSeries);
    std::string policyText(std::uint64_t version) const;
    const std::string &serviceOf(std::uint64_t version) const;
    void scheduleFault();
    void scheduleDrill();
    /** Takes the store away for a moment; it comes back from an older copy. */
    void drill();
    void harmStore();
    void harmNode();
    void harmProcess(SoakNode &node);
    void harmLinks(SoakNode &node);
    void beginHarm(SoakNode &node, const std::string &what, Milliseconds duration);
    void endHarm(SoakNode &node);
    void restartWhenEnded(SoakNode &node);
    void announce(SoakNode &node);
    void callOften(SoakNode &node);
    void call(SoakNode &node);
    void judgeAnswer(SoakNode &node, const std::string &key, VersionAnswer answer,
                     const chervilmount::relay::HttpResponse &response);
    void after(Milliseconds delay, std::function<void()> action);
    Milliseconds draw(int least, int most);
    Milliseconds drawForDrill(int least, int most);
    /** Excuses nodes that a busy machine has kept from running, and all of them if it has kept this
     * process, which is their store, from it. */
    void watchProcessorTime();
    void runFor(Milliseconds duration);
    void waitUntilReady();
    std::string clock() const;
    void fault(const std::string &text);

    SoakSettings m_settings;
    std::mt19937_64 m_random;
    /** Drills are drawn apart, so that a seed plays the same other faults with and without them. */
    std::mt19937_64 m_drillRandom;
    boost::asio::io_context m_context;
    chervilmount::relay::TimerQueue m_timers;
    RowStore m_store;
    std::vector<std::string> m_services{"slipdesk", "printhall", "bundler", "staffrolls"};
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    VersionWatch m_watch;
    SoakReport m_report;
    TimePoint m_startedAt;
    std::uint64_t m_lastCall = 0;
    TimePoint m_lastLook;
    bool m_isStoreHarmed = false;
    /** No version is written until then. */
    TimePoint m_quietUntil;
};
