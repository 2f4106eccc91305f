// Usage: case FOLDER TEMPORARY. See claim.txt.
#include "../standin/standin.h"

using namespace review;

namespace {

constexpr const char *Key = "6wsjnbanfqasnmgkcuyj";
constexpr const char *Host = "hulo84.example";
constexpr int OutageMs = 4500;
constexpr int PingLateMs = 4000;
/** How long the server serves after its departure was acknowledged. */
constexpr int ServesMs = 14000;
/** Bounds of the pages: drain_s and contact_s. */
constexpr int DrainMs = 2000;
constexpr int ContactMs = 3000;

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    char root[4096];
    if (getcwd(root, sizeof(root)) == nullptr)
        return 2;
    g_record.open(std::string(argv[1]) + "/record.txt");
    Deployment deployment;
    if (!deployment.prepare(root, argv[2], 3))
        return 2;
    deployment.addMachine("portal", "boston-a", "boston");
    deployment.addMachine("desk", "boston-a", "boston");
    deployment.addMachine("desk", "boston-b", "boston");
    deployment.m_store.put("op", "config",
                           config(7, {{"order", Host, "/visits/", "non_idempotent", 10, 2, "desk"}},
                                  {"portal", "desk"}, {Key}));
    if (!deployment.start()) {
        deployment.endAll();
        return 2;
    }
    sleepMs(5000);
    Machine &client = *deployment.m_machines[0];
    Machine &leaving = *deployment.m_machines[1];
    Backend &server = *leaving.m_backend;
    const std::int64_t begin = nowMs();
    if (hasTrouble()) {
        g_record.line("store   answers 503 for %d ms", OutageMs);
        deployment.m_store.refuse();
    }
    sleepMs(300);
    server.m_pings = false;
    const std::int64_t sequence = ++server.m_sequence;
    const std::int64_t pingAt = nowMs();
    g_record.line("ping    %s ready, sequence %lld, sent; it arrives %d ms late",
                  server.m_id.c_str(), static_cast<long long>(sequence), PingLateMs);
    sleepMs(200);
    const int acknowledged = server.leave(deployment.controlPort());
    const std::int64_t acknowledgedAt = nowMs();
    g_record.line("leave   %s: %d", server.m_id.c_str(), acknowledged);
    sleepMs(300);
    if (hasTrouble()) {
        g_record.line("kill    node %s", leaving.m_name.c_str());
        deployment.signalNode(leaving, SIGKILL);
        sleepMs(300);
        ++leaving.m_restarts;
        deployment.startNode(leaving);
    }
    sleepMs(pingAt + PingLateMs - nowMs());
    const int late = server.ping(deployment.controlPort(), "ready", sequence);
    g_record.line("ping    %s ready, sequence %lld, arrives: %d", server.m_id.c_str(),
                  static_cast<long long>(sequence), late);
    sleepMs(begin + OutageMs - nowMs());
    deployment.m_store.resume();
    g_record.line("store   answers");
    const std::int64_t inTouchAt = std::max(begin + OutageMs + ContactMs, acknowledgedAt + DrainMs);
    int sent = 0;
    int served = 0;
    while (nowMs() < acknowledgedAt + ServesMs - 1000) {
        Connection connection;
        Message answer;
        const std::string attempt = newAttempt();
        if (connection.dial(client.m_ip, deployment.outboundPort())
            && connection.send(
                    requestText("POST", Host, "/visits/book?work=20", attempt, 1000, Key, "order"))
            && connection.read(answer, 1500) == ReadResult::Whole) {
            ++sent;
            served += answer.status() == 200 ? 1 : 0;
        }
        g_record.line("answer  %s: %d", attempt.c_str(), answer.status());
        sleepMs(20);
    }
    deployment.endAll();
    int broken = 0;
    {
        const std::lock_guard lock(g_runsMutex);
        for (const Run &run : g_runs)
            broken += run.m_instance == server.m_id && run.m_at > inTouchAt ? 1 : 0;
    }
    g_record.line("result  requests that reached %s later than %d ms after the acknowledgement, at "
                  "machines in touch: %d of %d (%d served)",
                  server.m_id.c_str(), DrainMs, broken, sent, served);
    std::printf("acknowledged %d, reached the leaving server too late: %d of %d\n", acknowledged,
                broken, sent);
    if (acknowledged != 200 || served == 0)
        finish(2);
    finish(broken > 0 ? 1 : 0);
}
