#include "relay/telemetry/counters.h"

namespace chervilmount::relay {

const char *nameOf(Outcome outcome)
{
    constexpr std::array<const char *, Outcomes> Names{"served",
                                                       "server-failure",
                                                       "refused-overload",
                                                       "refused-unavailable",
                                                       "refused-allotment",
                                                       "refused-policy",
                                                       "unknown",
                                                       "timeout",
                                                       "abandoned"};
    return Names.at(static_cast<std::size_t>(outcome));
}

std::string metricsText(const Counters &counters, const Gauges &gauges)
{
    adapters::Metrics metrics;
    const auto add = [&metrics](const char *type, const char *name, const char *help,
                                double value) {
        metrics.describe(name, type, help);
        metrics.set(name, {}, value);
    };
    metrics.describe("chervilmount_requests_total", "counter", "Requests by how they ended.");
    for (std::size_t index = 0; index < Outcomes; ++index)
        metrics.set("chervilmount_requests_total",
                    {{"outcome", nameOf(static_cast<Outcome>(index))}},
                    static_cast<double>(counters.m_outcomes[index]));
    add("counter", "chervilmount_repeats_total", "Requests sent to a backend server again.",
        static_cast<double>(counters.m_repeats));
    add("counter", "chervilmount_second_attempts_total",
        "Attempts beside one that still runs at a doubtful node.",
        static_cast<double>(counters.m_secondAttempts));
    add("counter", "chervilmount_runs_total",
        "Requests sent to the backend server beside the node.",
        static_cast<double>(counters.m_runs));
    add("counter", "chervilmount_runs_refused_total", "Runs refused before the backend server.",
        static_cast<double>(counters.m_runsRefused));
    add("counter", "chervilmount_unreadable_limits_total",
        "Answers whose limit on requests could not be read.",
        static_cast<double>(counters.m_unreadableLimits));
    add("counter", "chervilmount_store_calls_total", "Calls to the platform's store.",
        static_cast<double>(counters.m_storeCalls));
    add("counter", "chervilmount_store_failures_total", "Failed calls to the platform's store.",
        static_cast<double>(counters.m_storeFailures));
    add("counter", "chervilmount_links_lost_total",
        "Links to other nodes that broke or fell silent.",
        static_cast<double>(counters.m_linksLost));
    add("counter", "chervilmount_log_lines_suppressed_total", "Log lines beyond the bound.",
        static_cast<double>(counters.m_logLinesSuppressed));
    add("counter", "chervilmount_backend_connections_total",
        "Connections made to the backend server.",
        static_cast<double>(gauges.m_backendConnections));
    add("gauge", "chervilmount_policy_version", "Version of the policy in force.",
        static_cast<double>(gauges.m_policyVersion));
    add("gauge", "chervilmount_peers_known", "Other nodes that are known.",
        static_cast<double>(gauges.m_peersKnown));
    add("gauge", "chervilmount_peers_linked", "Other nodes with a working link.",
        static_cast<double>(gauges.m_peersLinked));
    add("gauge", "chervilmount_rate_sharers", "Nodes among which the rates are divided.",
        static_cast<double>(gauges.m_rateSharers));
    add("gauge", "chervilmount_rate_fraction", "Fraction of its even share that the node takes.",
        gauges.m_rateFraction);
    add("gauge", "chervilmount_runs_running", "Requests at the backend server.", gauges.m_running);
    add("gauge", "chervilmount_runs_waiting", "Requests waiting for a slot.",
        static_cast<double>(gauges.m_waiting));
    add("gauge", "chervilmount_ready", "1 while the node answers that it is ready.",
        gauges.m_ready ? 1.0 : 0.0);
    metrics.describe("chervilmount_admitted_share", "gauge",
                     "Part of the requests admitted, by service needed and importance.");
    for (const auto &[service, shares] : gauges.m_admitted) {
        for (std::size_t level = 0; level < shares.size(); ++level)
            metrics.set("chervilmount_admitted_share",
                        {{"service", service}, {"importance", std::to_string(level)}},
                        shares[level]);
    }
    std::string text = metrics.text();
    text += "# HELP chervilmount_request_seconds Time from a request's arrival to its response.\n"
            "# TYPE chervilmount_request_seconds histogram\n";
    for (const auto &[route, histogram] : counters.m_latencies)
        histogram.write("chervilmount_request_seconds", "route=\"" + route + "\"", text);
    return text;
}

} // namespace chervilmount::relay
