// Usage: case FOLDER TEMPORARY. See claim.txt.
#include "../standin/standin.h"

using namespace review;

namespace {

constexpr const char *KeptKey = "6wsjnbanfqasnmgkcuyj";
constexpr const char *WithdrawnKey = "8pjbvk9m68k7b2ex5wa5";
constexpr const char *Host = "hulo84.example";
constexpr int OutageMs = 4500;
/** Bounds of the pages: contact_s, and the longest of config_apply_s (2 s) and revoke_s (5 s) with
 * max_stretch_s (5 s) on top, though the store has long been stable again. */
constexpr int ContactMs = 3000;
constexpr int LatestMs = 5000 + 5000;
constexpr int BeforeChangeMs = ContactMs + 1000;

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
    deployment.addMachine("stock", "boston-a", "boston");
    deployment.addMachine("stock", "boston-b", "boston");
    const std::vector<RouteRow> routes{{"lookup", Host, "/stock/", "idempotent", 10, 2, "stock"}};
    const std::vector<std::string> services{"portal", "stock"};
    deployment.m_store.put("op", "config", config(7, routes, services, {KeptKey, WithdrawnKey}));
    if (!deployment.start()) {
        deployment.endAll();
        return 2;
    }
    sleepMs(4000);
    if (hasTrouble()) {
        g_record.line("store   gives no response for %d ms", OutageMs);
        deployment.m_store.fallSilent();
    }
    sleepMs(OutageMs);
    deployment.m_store.resume();
    g_record.line("store   answers");
    sleepMs(BeforeChangeMs);
    deployment.m_store.put("op", "config", config(9, routes, services, {KeptKey}));
    const std::int64_t acknowledgedAt = nowMs();
    g_record.line("config  r9 without the second key is acknowledged");
    int late = 0;
    int refused = 0;
    int served = 0;
    int other = 0;
    std::int64_t lastServed = 0;
    const std::int64_t until = acknowledgedAt + 25000;
    while (nowMs() < until) {
        for (const auto &machine : deployment.m_machines) {
            for (const char *key : {WithdrawnKey, KeptKey}) {
                Connection connection;
                Message answer;
                const std::string attempt = newAttempt();
                const std::int64_t sentAt = nowMs();
                if (!connection.dial(machine->m_ip, deployment.outboundPort())
                    || !connection.send(
                            requestText("GET", Host, "/stock/1?work=5", attempt, 2000, key))
                    || connection.read(answer, 2000) != ReadResult::Whole) {
                    ++other;
                    continue;
                }
                g_record.line("answer  %s at %s with %s key: %d, sent %.1f s after the change",
                              attempt.c_str(), machine->m_name.c_str(),
                              key == WithdrawnKey ? "the withdrawn" : "a valid", answer.status(),
                              (sentAt - acknowledgedAt) / 1000.0);
                if (key == KeptKey) {
                    served += answer.status() == 200 ? 1 : 0;
                    continue;
                }
                refused += answer.status() == 401 ? 1 : 0;
                if (answer.status() == 200 && runsOf(attempt) > 0
                    && sentAt > acknowledgedAt + LatestMs) {
                    ++late;
                    lastServed = sentAt - acknowledgedAt;
                }
            }
        }
        sleepMs(400);
    }
    deployment.endAll();
    g_record.line("result  requests with the withdrawn key that ran too late: %d, the last sent "
                  "%.1f s after the acknowledgement; refused with 401: %d; valid key served: %d; "
                  "other: %d",
                  late, lastServed / 1000.0, refused, served, other);
    std::printf("ran too late %d, the last %.1f s after the acknowledgement; refused %d\n", late,
                lastServed / 1000.0, refused);
    if (served == 0)
        finish(2);
    finish(late > 0 ? 1 : 0);
}
