#pragma once

#include "standin.h"

#include <algorithm>
#include <deque>
#include <random>

namespace standin {

/** Figures of the tenant's allotment and of the load in the quota cases. */
struct QuotaPlan
{
    int m_nodes = 5;
    double m_ratePerSecond = 100.0;
    double m_burst = 20.0;
    /** Requests a second that the tenant's clients send, over all nodes. */
    double m_demandPerSecond = 300.0;
    double m_routeTimeout = 1.0;
    int m_patienceMilliseconds = 3000;
    /** Duration of the load. */
    double m_seconds = 20.0;
};

/** Bounds of the rule, from the settings that each process gets. */
constexpr double QuotaWindow = 5.0;
constexpr double QuotaOverage = 0.1;
constexpr double QuotaSlack = 20.0;

/** Nodes with one backend server each, a store and a tenant whose clients send more than its allotment. */
class QuotaCase
{
public:
    QuotaCase(Record &record, const QuotaPlan &plan)
        : m_record(record)
        , m_plan(plan)
    {
        std::random_device device;
        const std::string network = "127." + std::to_string(10 + device() % 200) + "."
                + std::to_string(device() % 250) + ".";
        const std::string storeIp = network + "250";
        const std::string storeAddress = storeIp + ":" + std::to_string(freePort(storeIp));
        m_store.listen(storeAddress);
        m_store.put("op", "config", configuration());
        for (int index = 0; index < plan.m_nodes; ++index) {
            const std::string name = "sidecar-north-a-" + std::to_string(index + 1);
            m_nodes.push_back(std::make_unique<Node>(name, "lookup", "north-a",
                                                     network + std::to_string(index + 1), storeAddress,
                                                     m_folder.path()));
            const Node &node = *m_nodes.back();
            m_backends.push_back(new Backend("i-" + std::to_string(index + 1), "lookup", "north-a", node.m_app,
                                             node.m_control, 200));
        }
    }

    /** Starts everything. @returns whether all nodes became ready. */
    bool start()
    {
        for (const std::unique_ptr<Node> &node : m_nodes)
            node->start();
        for (Backend *backend : m_backends)
            backend->start();
        for (const std::unique_ptr<Node> &node : m_nodes) {
            if (!node->waitUntilReady(Milliseconds{15000}))
                return false;
        }
        // The links and the tenant's shares settle.
        std::this_thread::sleep_for(Milliseconds{4000});
        return true;
    }

    /** Sends the load at an even pace, round robin over the nodes; returns when the last answer has come. */
    void load()
    {
        const Clock::time_point begun = Clock::now();
        const int requests = static_cast<int>(m_plan.m_seconds * m_plan.m_demandPerSecond);
        std::atomic<int> open = 0;
        for (int index = 0; index < requests; ++index) {
            std::this_thread::sleep_until(begun
                                          + std::chrono::duration_cast<Clock::duration>(
                                                  std::chrono::duration<double>(index / m_plan.m_demandPerSecond)));
            ++open;
            std::thread([this, index, &open] {
                request(index);
                --open;
            }).detach();
        }
        while (open > 0)
            std::this_thread::sleep_for(Milliseconds{20});
    }

    /** Compares what the backend servers ran with the tenant's allotment. @returns whether the rule held. */
    bool judge()
    {
        std::map<std::string, Clock::time_point> firstRuns;
        for (Backend *backend : m_backends) {
            for (const Run &run : backend->runs()) {
                const auto [entry, isNew] = firstRuns.emplace(run.m_attempt, run.m_at);
                if (!isNew)
                    entry->second = std::min(entry->second, run.m_at);
            }
        }
        std::vector<std::pair<double, double>> ran;
        std::map<int, int> statuses;
        for (const auto &[attempt, sent] : m_sent) {
            ++statuses[m_outcomes[attempt].m_status];
            const auto run = firstRuns.find(attempt);
            m_record.line("sent " + attempt + " at " + std::to_string(secondsSinceStart(sent)) + " answered "
                          + std::to_string(m_outcomes[attempt].m_status) + " at "
                          + std::to_string(secondsSinceStart(m_outcomes[attempt].m_at)) + " run "
                          + (run == firstRuns.end() ? std::string("never")
                                                    : std::to_string(secondsSinceStart(run->second))));
            if (run != firstRuns.end())
                ran.emplace_back(secondsSinceStart(sent), secondsSinceStart(run->second));
        }
        std::sort(ran.begin(), ran.end());
        std::size_t most = 0;
        double at = 0.0;
        for (const auto &[start, unused] : ran) {
            const auto count = static_cast<std::size_t>(
                    std::count_if(ran.begin(), ran.end(), [start = start](const auto &entry) {
                        return entry.first >= start && entry.second <= start + QuotaWindow;
                    }));
            if (count > most) {
                most = count;
                at = start;
            }
        }
        std::string text = "answers:";
        for (const auto &[status, count] : statuses)
            text += " " + std::to_string(status) + " x " + std::to_string(count);
        m_record.say(text);
        const double bound = (m_plan.m_ratePerSecond * QuotaWindow + m_plan.m_burst) * (1.0 + QuotaOverage) + QuotaSlack;
        m_record.say("most requests of the tenant sent and run within " + std::to_string(QuotaWindow).substr(0, 3)
                     + " s: " + std::to_string(most) + " from " + std::to_string(at) + ", bound "
                     + std::to_string(bound));
        return static_cast<double>(most) <= bound;
    }

    Record &m_record;
    QuotaPlan m_plan;
    TemporaryFolder m_folder;
    /** Used by detached threads until the end of the process, so never destroyed. @{ */
    Store &m_store = *new Store;
    std::vector<Backend *> m_backends;
    /** @} */
    std::vector<std::unique_ptr<Node>> m_nodes;

private:
    std::string configuration() const
    {
        const auto number = [](double value) { return std::to_string(value); };
        return R"({"version":"r1","routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s",)"
               R"("priority","traffic_split","max_attempts","auth_exempt","service"],"rows":[["r-lookup",)"
               R"("lookup.example","/pins/","non_idempotent",)"
                + number(m_plan.m_routeTimeout)
                + R"(,1.5,2,null,2,false,"lookup"]]},"services":{"columns":["name","health_path","max_connections"],)"
                  R"("rows":[["lookup","/health",1150]]},"limits":{"max_header_bytes":16384,)"
                  R"("max_body_bytes":1048576,"header_timeout_s":5,"idle_timeout_s":15},)"
                  R"("tenants":{"columns":["name","api_keys","rate_per_s","burst","priority"],"rows":)"
                  R"([["large",["key-large"],)"
                + number(m_plan.m_ratePerSecond) + "," + number(m_plan.m_burst) + ",null]]}}";
    }

    void request(int index)
    {
        const std::string attempt = "attempt-" + std::to_string(index);
        const Node &node = *m_nodes[static_cast<std::size_t>(index) % m_nodes.size()];
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_sent[attempt] = Clock::now();
        }
        const Outcome outcome = ask(node.m_outbound,
                                    requestText("POST", "lookup.example", "/pins/1", attempt,
                                                m_plan.m_patienceMilliseconds, "key-large", "", true),
                                    m_plan.m_patienceMilliseconds);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_outcomes[attempt] = outcome;
    }

    std::mutex m_mutex;
    std::map<std::string, Clock::time_point> m_sent;
    std::map<std::string, Outcome> m_outcomes;
};

} // namespace standin
