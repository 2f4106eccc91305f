#include "platform/soak/policysoak.h"

#include "relay/http/socketoptions.h"
#include "support/freeaddress.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

using namespace chervilmount::relay;
namespace http = boost::beast::http;

namespace {

using Milliseconds = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr Milliseconds AnnouncementInterval{1000};
constexpr Milliseconds CallInterval{60};
constexpr Milliseconds CallTimeout{1500};
/** Interval at which the processes are looked at, and the time without a processor from which one
 * counts as slowed. @{ */
constexpr Milliseconds LookInterval{50};
constexpr Milliseconds SlowedTime{150};
/** @} */
/** Time in which each follower has polled the store once more. */
constexpr Milliseconds PollTime{2000};
/** Time after a drill until answers have been judged by the version written right after it; the
 * next version would hide that it was missed. */
constexpr Milliseconds JudgedTime{7000};
constexpr Milliseconds RestartDelay{500};
constexpr Milliseconds ReadinessLimit{20000};
/** Versions increase in uneven steps. */
constexpr std::uint64_t LargestVersionStep = 4;
constexpr const char *Host = "soak.example";

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace

PolicySoak::PolicySoak(SoakSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.m_seed)
    , m_drillRandom(~m_settings.m_seed)
    , m_timers(m_context)
    , m_store(m_context)
    , m_startedAt(std::chrono::steady_clock::now())
{
    std::filesystem::create_directories(m_settings.m_folder);
    for (int index = 0; index < m_settings.m_nodes; ++index)
        addNode(index);
}

SoakReport PolicySoak::run()
{
    writeVersion();
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        node->m_process->start();
        announce(*node);
    }
    waitUntilReady();
    m_startedAt = std::chrono::steady_clock::now();
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        node->m_watched.m_disturbedUntil = m_startedAt;
        node->m_storeProxy->m_faults.m_delay = m_settings.m_unexcusedDelay;
        callOften(*node);
    }
    m_lastLook = m_startedAt;
    watchProcessorTime();
    scheduleVersion(draw(200, 3000), 0);
    if (!m_settings.m_playsDrillsOnly)
        scheduleFault();
    scheduleDrill();
    runFor(m_settings.m_duration);
    m_report.m_judged = m_watch.m_judged;
    m_report.m_excused = m_watch.m_excused;
    m_report.m_versions = m_watch.m_written.size();
    return m_report;
}

void PolicySoak::addNode(int index)
{
    auto node = std::make_unique<SoakNode>();
    node->m_name = "node-" + std::to_string(index);
    node->m_service = m_services[static_cast<std::size_t>(index) / 2 % m_services.size()];
    node->m_backend = std::make_unique<Backend>(m_context, "i-" + node->m_name, node->m_service);
    node->m_callerAddress = freeAddress(m_context);
    node->m_announcementAddress = freeAddress(m_context);
    node->m_storeAddress = freeAddress(m_context);
    node->m_storeProxy = std::make_unique<FaultProxy>(m_context, m_timers, node->m_storeAddress,
                                                      m_store.addAddress());
    // The metrics listener takes the port after that of the links.
    const std::string peerAddress = freeAddress(m_context, 2);
    const std::string base = m_settings.m_folder + "/" + node->m_name;
    std::string decisions;
    if (m_settings.m_usesPeerProxies) {
        const std::string listen = freeAddress(m_context);
        node->m_peerProxy = std::make_unique<FaultProxy>(m_context, m_timers, peerAddress, listen);
        decisions = base + ".json";
        writeFile(decisions, R"({"links":{"listenAddress":")" + listen + "\"}}");
    }
    writeFile(base + ".conf", settingsText(*node, peerAddress, freeAddress(m_context)));
    node->m_process = std::make_unique<NodeProcess>(m_settings.m_program, base + ".conf", decisions,
                                                    base + ".log");
    m_nodes.push_back(std::move(node));
}

std::string PolicySoak::settingsText(const SoakNode &node, const std::string &peerAddress,
                                     const std::string &readinessAddress) const
{
    const std::size_t index = m_nodes.size();
    const std::string region = index % 2 == 0 ? "east" : "west";
    const std::string zone = region + (index % 4 < 2 ? "-a" : "-b");
    const std::string port = portOf(peerAddress);
    return "self.node=" + node.m_name + "\nself.zone=" + zone + "\nself.region=" + region
            + "\nself.service=" + node.m_service + "\nself.ip=127.0.0.1\nself.app_addr="
            + node.m_backend->address() + "\nnetwork.listen.outbound=" + node.m_callerAddress
            + "\nnetwork.listen.ready=" + readinessAddress
            + "\nnetwork.listen.control=" + node.m_announcementAddress
            + "\nnetwork.internal_ports=" + port + "," + std::to_string(std::stoi(port) + 1)
            + "\nplatform.platform.address=" + node.m_storeAddress + "\n";
}

void PolicySoak::writeVersion()
{
    const std::uint64_t last = m_watch.m_written.empty() ? 0 : m_watch.m_written.back().m_version;
    const std::uint64_t version = last + 1 + m_random() % LargestVersionStep;
    m_store.put("op", "config", policyText(version));
    m_watch.m_written.push_back({version, std::chrono::steady_clock::now()});
}

void PolicySoak::scheduleVersion(Milliseconds delay, int inSeries)
{
    after(delay, [this, inSeries] {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now < m_quietUntil) {
            scheduleVersion(std::chrono::ceil<Milliseconds>(m_quietUntil - now), inSeries);
            return;
        }
        writeVersion();
        constexpr int LongestSeries = 6;
        const bool startsSeries = inSeries == 0 && m_random() % 4 == 0;
        const int left = startsSeries ? 1 + static_cast<int>(m_random() % LongestSeries)
                                      : std::max(0, inSeries - 1);
        scheduleVersion(left > 0 ? draw(20, 300) : draw(500, 7000), left);
    });
}

std::string PolicySoak::policyText(std::uint64_t version) const
{
    const std::string text = std::to_string(version);
    std::string services;
    for (const std::string &service : m_services)
        services += (services.empty() ? "" : ",") + ("[\"" + service + "\",\"/health\",100]");
    return R"({"version":"r)" + text
            + R"(","routes":{"columns":["name","host","prefix","kind","timeout_s",
               "target_latency_s","priority","traffic_split","max_attempts","auth_exempt",
               "service"],"rows":[["moved",")"
            + Host + R"(","/moved/","idempotent",1.2,1.0,2,null,2,false,")" + serviceOf(version)
            + R"("],["v)" + text + R"(",")" + Host + R"(","/v)" + text
            + R"(/","idempotent",1.2,1.0,2,null,2,false,")" + serviceOf(version)
            + R"("]]},"services":{"columns":["name","health_path","max_connections"],"rows":[)"
            + services + R"(]},"limits":{"max_header_bytes":4096,"max_body_bytes":100000,
               "header_timeout_s":1,"idle_timeout_s":20},"tenants":{"columns":["name","api_keys",
               "priority","rate_per_s","burst"],"rows":[["large",["key","key-)"
            + text + R"("],null,0,0]]}})";
}

const std::string &PolicySoak::serviceOf(std::uint64_t version) const
{
    return m_services[version % m_services.size()];
}

void PolicySoak::scheduleFault()
{
    after(draw(1000, 8000), [this] {
        // Faults of the store excuse all nodes, so the others get more of the time.
        if (m_random() % 3 == 0)
            harmStore();
        else
            harmNode();
        scheduleFault();
    });
}

void PolicySoak::scheduleDrill()
{
    after(drawForDrill(3000, 9000), [this] {
        // A write that the drill takes back and that the nodes have followed, so that the next
        // version of the policy can get its number.
        m_store.put("other", "row", clock());
        m_quietUntil = std::chrono::steady_clock::now() + PollTime;
        after(PollTime, [this] {
            drill();
            scheduleDrill();
        });
    });
}

void PolicySoak::drill()
{
    if (m_isStoreHarmed)
        return;
    m_isStoreHarmed = true;
    // After two failed calls other nodes begin to follow the policy, and read it. With open calls
    // the same ones go on.
    enum Kind { Silent, Refusing, Open };
    const auto kind = static_cast<Kind>(m_drillRandom() % 3);
    const Milliseconds away = kind == Open ? Milliseconds{0} : drawForDrill(20, 1000);
    const Milliseconds age = PollTime + drawForDrill(50, 2000);
    const bool writesAtOnce = m_drillRandom() % 4 != 0;
    const char *const names[] = {"silent", "refusing", "calls open"};
    fault(std::string("store away, ") + names[kind] + ", for " + std::to_string(away.count())
          + " ms, back from a copy " + std::to_string(age.count()) + " ms old");
    m_watch.m_storeDownUntil = std::chrono::steady_clock::now() + away;
    m_store.m_faults.m_silent = kind == Silent;
    m_store.m_faults.m_status = kind == Refusing ? 503 : 0;
    if (kind == Silent)
        m_store.dropPendingCalls();
    else if (kind == Refusing)
        m_store.refusePendingCalls();
    after(away, [this, age, away, writesAtOnce] {
        m_store.m_faults.m_silent = false;
        m_store.m_faults.m_status = 0;
        m_store.restoreCopy(age + away);
        if (writesAtOnce) {
            writeVersion();
            m_quietUntil = std::chrono::steady_clock::now() + JudgedTime;
        }
        m_isStoreHarmed = false;
    });
}

void PolicySoak::harmStore()
{
    if (m_isStoreHarmed)
        return;
    m_isStoreHarmed = true;
    const Milliseconds duration = draw(200, 5000);
    TimePoint end = std::chrono::steady_clock::now() + duration;
    const std::uint64_t kind = m_random() % 5;
    const char *const names[] = {"silent", "refusing", "forgetful", "refusing-some", "silent-some"};
    fault(std::string("store ") + names[kind] + " for " + std::to_string(duration.count()) + " ms");
    // The store forgets its history at the end of its silent time.
    if (kind == 2)
        end += RowStore::SilentTime;
    if (kind < 3)
        m_watch.m_storeDownUntil = end;
    else
        m_watch.m_storePartialUntil = end;
    if (kind == 0) {
        m_store.m_faults.m_silent = true;
        m_store.dropPendingCalls();
    } else if (kind == 1) {
        m_store.m_faults.m_status = 503;
    } else if (kind == 2) {
        m_store.forgetHistory(duration);
        writeVersion();
    } else {
        for (const std::string &address : m_store.addresses()) {
            if (m_random() % 3 != 0)
                continue;
            (kind == 3 ? m_store.m_refusing : m_store.m_silent).insert(address);
            if (kind == 4)
                m_store.dropPendingCalls(address);
        }
    }
    after(duration, [this] {
        m_store.m_faults.m_silent = false;
        m_store.m_faults.m_status = 0;
        m_store.m_refusing.clear();
        m_store.m_silent.clear();
        m_isStoreHarmed = false;
    });
}

void PolicySoak::harmNode()
{
    // Several at once, so that all that follow the store may be among them.
    const std::uint64_t count = 1 + m_random() % 3;
    for (std::uint64_t harmed = 0; harmed < count; ++harmed) {
        SoakNode &node = *m_nodes[m_random() % m_nodes.size()];
        if (node.m_isHarmed)
            continue;
        if (m_random() % 2 == 0)
            harmProcess(node);
        else
            harmLinks(node);
    }
}

void PolicySoak::harmProcess(SoakNode &node)
{
    const std::uint64_t kind = m_random() % 3;
    if (kind == 0) {
        const Milliseconds duration = draw(300, 5000);
        beginHarm(node, "frozen", duration);
        node.m_process->signal(SIGSTOP);
        after(duration, [this, &node] {
            node.m_process->signal(SIGCONT);
            endHarm(node);
        });
        return;
    }
    beginHarm(node, kind == 1 ? "killed" : "stopped", std::chrono::hours{1});
    node.m_process->signal(kind == 1 ? SIGKILL : SIGTERM);
    restartWhenEnded(node);
}

void PolicySoak::restartWhenEnded(SoakNode &node)
{
    after(Milliseconds{50}, [this, &node] {
        if (node.m_process->isRunning()) {
            restartWhenEnded(node);
            return;
        }
        after(RestartDelay, [this, &node] {
            node.m_process->start();
            node.m_watched.m_seenVersion = 0;
            endHarm(node);
        });
    });
}

void PolicySoak::harmLinks(SoakNode &node)
{
    const bool ofStore = !node.m_peerProxy || m_random() % 2 == 0;
    FaultProxy &proxy = ofStore ? *node.m_storeProxy : *node.m_peerProxy;
    const std::string place = ofStore ? "link to the store " : "links of other nodes ";
    const std::uint64_t kind = m_random() % 5;
    if (kind == 0) {
        beginHarm(node, place + "reset", Milliseconds{0});
        proxy.reset();
        endHarm(node);
        return;
    }
    if (kind == 1) {
        // Also the links of others to this node, which excuses them as a reset does.
        beginHarm(node, place + "silenced", Milliseconds{0});
        proxy.silenceConnections();
        endHarm(node);
        return;
    }
    const Milliseconds duration = draw(300, 5000);
    beginHarm(node,
              place
                      + (kind == 2           ? "cut"
                                 : kind == 3 ? "cut forward"
                                             : "cut backward"),
              duration);
    proxy.m_faults.m_dropsForward = kind != 4;
    proxy.m_faults.m_dropsBackward = kind != 3;
    after(duration, [this, &node, &proxy] {
        proxy.m_faults.m_dropsForward = proxy.m_faults.m_dropsBackward = false;
        endHarm(node);
    });
}

void PolicySoak::beginHarm(SoakNode &node, const std::string &what, Milliseconds duration)
{
    node.m_isHarmed = true;
    node.m_watched.m_disturbedUntil = std::chrono::steady_clock::now() + duration;
    fault(node.m_name + " " + what
          + (duration.count() > 0 && duration < std::chrono::hours{1}
                     ? " for " + std::to_string(duration.count()) + " ms"
                     : ""));
}

void PolicySoak::endHarm(SoakNode &node)
{
    node.m_isHarmed = false;
    node.m_watched.m_disturbedUntil = std::chrono::steady_clock::now();
}

void PolicySoak::announce(SoakNode &node)
{
    auto connection = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
    connection->connect(
            parseEndpoint(node.m_announcementAddress), [this, &node, connection](bool connected) {
                if (!connected)
                    return;
                HttpRequest request;
                request.version(11);
                request.method(http::verb::put);
                request.target("/instances/" + node.m_backend->id());
                request.set(http::field::host, "node");
                request.body() =
                        node.m_backend->announcement("ready", ++node.m_announcements, 1000);
                request.prepare_payload();
                connection->exchange(std::move(request), {},
                                     [weak = std::weak_ptr<HttpClientConnection>(connection)](
                                             const ExchangeResult & /*result*/) {
                                         if (const auto used = weak.lock())
                                             used->close();
                                     });
            });
    after(AnnouncementInterval, [this, &node] { announce(node); });
}

void PolicySoak::callOften(SoakNode &node)
{
    call(node);
    after(CallInterval, [this, &node] { callOften(node); });
}

void PolicySoak::call(SoakNode &node)
{
    const TimePoint now = std::chrono::steady_clock::now();
    // A call that is under way goes on; the next one waits for it.
    if (node.m_isCalling)
        return;
    if (!node.m_callers || node.m_callers->isClosed()
        || (node.m_callers->hasBeenUsed() && !node.m_callers->isReusable(now))) {
        node.m_isCalling = true;
        node.m_callers = std::make_shared<HttpClientConnection>(m_context, "", 1UL << 20U);
        const Connection connection = node.m_callers;
        connection->connect(parseEndpoint(node.m_callerAddress),
                            [&node, connection](bool connected) {
                                node.m_isCalling = false;
                                if (!connected)
                                    node.m_callers = nullptr;
                            });
        return;
    }
    node.m_isCalling = true;
    const std::uint64_t latest = m_watch.m_written.back().m_version;
    const std::uint64_t kind = m_random() % 4;
    const std::size_t back = std::min<std::size_t>(1 + m_random() % 3, m_watch.m_written.size());
    const std::uint64_t older = m_watch.m_written[m_watch.m_written.size() - back].m_version;
    std::string key = "key";
    std::string target = "/moved/1";
    if (kind == 1)
        key = "key-" + std::to_string(older);
    else if (kind == 2)
        key = "key-" + std::to_string(latest);
    else if (kind == 3)
        target = "/v" + std::to_string(latest) + "/1";
    HttpRequest request;
    request.version(11);
    request.method(http::verb::get);
    request.target(target);
    request.set(http::field::host, Host);
    request.set("X-Chervilmount-Attempt-Id", "soak-" + std::to_string(++m_lastCall));
    request.set("X-Chervilmount-Deadline-Ms", std::to_string(CallTimeout.count()));
    request.set("X-Chervilmount-Key", key);
    request.prepare_payload();
    const std::string asked = kind == 3 ? target.substr(2, target.rfind('/') - 2) : key;
    const Connection connection = node.m_callers;
    const TimerId timeout = m_timers.add(now + CallTimeout * 2, [this, &node, connection] {
        connection->close();
        node.m_isCalling = false;
        ++m_report.m_unanswered;
    });
    connection->exchange(std::move(request), {},
                         [this, &node, asked, now, timeout](const ExchangeResult &result) {
                             m_timers.cancel(timeout);
                             node.m_isCalling = false;
                             if (result.m_status == ExchangeStatus::Answered)
                                 judgeAnswer(node, asked,
                                             {now, std::chrono::steady_clock::now(), 0, false},
                                             result.m_response);
                         });
}

void PolicySoak::judgeAnswer(SoakNode &node, const std::string &key, VersionAnswer answer,
                             const HttpResponse &response)
{
    const std::string seal(fieldValue(response, "X-Chervilmount-Server-Seal"));
    const auto status = response.result_int();
    if (status == 200) {
        const auto ran = std::find_if(m_nodes.begin(), m_nodes.end(), [&seal](const auto &entry) {
            return seal == "seal-" + entry->m_backend->id();
        });
        if (ran == m_nodes.end())
            return;
        const std::string service = (*ran)->m_service;
        answer.m_newest = newestVersion(m_watch, [&](std::uint64_t version) {
            return serviceOf(version) == service
                    && (key == "key" || key == "key-" + std::to_string(version)
                        || key == std::to_string(version));
        });
        answer.m_isExact = key != "key";
    } else if (status == 401 || status == 404) {
        answer.m_newest = newestVersion(m_watch, [&](std::uint64_t version) {
            return key != "key" && key != "key-" + std::to_string(version)
                    && key != std::to_string(version);
        });
    } else {
        // Other refusals do not depend on the version.
        return;
    }
    if (const std::optional<std::string> finding = judge(m_watch, node.m_watched, answer))
        m_report.m_findings.push_back(clock() + " " + node.m_name + " status "
                                      + std::to_string(status) + " asked " + key + ": " + *finding);
}

void PolicySoak::after(Milliseconds delay, std::function<void()> action)
{
    m_timers.add(std::chrono::steady_clock::now() + delay, std::move(action));
}

PolicySoak::Milliseconds PolicySoak::draw(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
}

PolicySoak::Milliseconds PolicySoak::drawForDrill(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_drillRandom));
}

void PolicySoak::watchProcessorTime()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::chrono::nanoseconds since = now - std::exchange(m_lastLook, now);
    if (since > LookInterval + SlowedTime) {
        m_watch.m_storeDownUntil = std::max(m_watch.m_storeDownUntil, now);
        fault("held up: this process for "
              + std::to_string(std::chrono::floor<Milliseconds>(since).count()) + " ms");
    }
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        const std::chrono::nanoseconds waited = node->m_process->waitedForProcessor();
        const std::chrono::nanoseconds before = std::exchange(node->m_waited, waited);
        if (waited - before < SlowedTime)
            continue;
        node->m_watched.m_disturbedUntil = std::max(node->m_watched.m_disturbedUntil, now);
        fault("held up: " + node->m_name + " waited "
              + std::to_string(std::chrono::floor<Milliseconds>(waited - before).count())
              + " ms for a processor");
    }
    after(LookInterval, [this] { watchProcessorTime(); });
}

void PolicySoak::runFor(Milliseconds duration)
{
    m_context.restart();
    m_context.run_for(duration);
}

void PolicySoak::waitUntilReady()
{
    const TimePoint limit = std::chrono::steady_clock::now() + ReadinessLimit;
    std::size_t ready = 0;
    while (ready < m_nodes.size()) {
        if (std::chrono::steady_clock::now() >= limit)
            throw std::runtime_error("the nodes are not ready; their logs are in "
                                     + m_settings.m_folder);
        runFor(Milliseconds{200});
        ready = 0;
        for (const std::unique_ptr<SoakNode> &node : m_nodes) {
            if (!node->m_process->isRunning())
                throw std::runtime_error(node->m_name + " has ended; its log is in "
                                         + m_settings.m_folder);
            std::ifstream log(m_settings.m_folder + "/" + node->m_name + ".log");
            const std::string text{std::istreambuf_iterator<char>(log), {}};
            ready += text.find("event=readiness ready=true") != std::string::npos ? 1 : 0;
        }
    }
}

std::string PolicySoak::clock() const
{
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_startedAt;
    constexpr int Width = 32;
    char text[Width];
    std::snprintf(text, sizeof text, "%.3f s", elapsed.count());
    return text;
}

void PolicySoak::fault(const std::string &text)
{
    m_report.m_faults.push_back(clock() + " " + text);
}
