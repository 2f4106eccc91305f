#include "model/findings/findingserror.h"
#include "platform/platform.h"

#include <catch2/catch.hpp>

using namespace chervilmount;

namespace {

const std::string ValidSettings = "self.node=node-1\n"
                                  "self.ip=127.0.0.1\n"
                                  "self.zone=zone-a\n"
                                  "self.region=region-a\n"
                                  "self.service=slipdesk\n"
                                  "self.app_addr=127.0.0.1:8547\n"
                                  "self.limits.max_fds=4100\n"
                                  "network.listen.outbound=127.0.0.1:8548\n"
                                  "network.listen.ready=127.0.0.1:8546\n"
                                  "network.listen.control=127.0.0.1:8540\n"
                                  "network.internal_ports=7000,7015\n"
                                  "platform.platform.address=127.0.0.1:8545\n"
                                  "terms.bounds.grace_s=6\n"
                                  "something.new=1\n";

std::string without(const std::string &text, const std::string &line)
{
    const std::size_t start = text.find(line);
    return text.substr(0, start) + text.substr(text.find('\n', start) + 1);
}

} // namespace

// Guards against settings that are applied partially, and against a check that reports only one
// finding at a time.
TEST_CASE("The platform's settings are checked as a whole")
{
    const platform::BootSettings settings = platform::parseBootSettings(ValidSettings, "boot.conf");
    CHECK(settings.m_relay.m_failureDomain == "zone-a");
    CHECK(settings.m_relay.m_peerAddress == "127.0.0.1:7000");
    CHECK(settings.m_relay.m_metricsAddress == "127.0.0.1:7001");
    CHECK(settings.m_relay.m_stop.m_longest.count() == 5520);
    // Grace period 6 s and drain bound 2 s are those of the platform's example.
    CHECK(settings.m_relay.m_stop.m_servesCallers.count() == 2600);
    CHECK(settings.m_relay.m_stop.m_servesOthers.count() == 1700);
    // The example's contact bound is 3 s; the call after a lost one has to end within it too.
    CHECK(settings.m_store.m_longPollTimeout.count() == 2250);
    std::string broken = without(without(ValidSettings, "self.node"), "network.listen.ready");
    broken += "self.app_addr=nowhere\nterms.bounds.grace_s=long\nself.limits.max_fds=-1\n";
    try {
        platform::parseBootSettings(broken, "boot.conf");
        FAIL("the settings were accepted");
    } catch (const model::FindingsError &error) {
        CHECK(error.findings().size() == 5);
        for (const model::Finding &finding : error.findings())
            CHECK_FALSE(finding.m_pointer.empty());
    }
}

// Guards against a shutdown that accepts work for too large a part of a short grace period.
TEST_CASE("The phases of a stop fit into the grace period")
{
    for (const int grace : {1, 2, 3, 4, 6, 10, 30}) {
        const platform::BootSettings settings = platform::parseBootSettings(
                ValidSettings + "terms.bounds.grace_s=" + std::to_string(grace)
                        + "\nterms.bounds.drain_s=3\n",
                "boot.conf");
        const traffic::StopSettings &stop = settings.m_relay.m_stop;
        INFO("grace period " << grace << " s");
        CHECK(stop.m_longest < std::chrono::seconds(grace));
        CHECK(stop.m_servesCallers < stop.m_longest / 2);
        CHECK(stop.m_servesOthers <= stop.m_longest / 3);
        CHECK(stop.m_sendsResponses < stop.m_longest - stop.m_servesCallers);
        CHECK(stop.m_servesCallers <= std::chrono::seconds(3));
    }
}

// Guards against a field of the operators' configuration that is lost or misinterpreted.
TEST_CASE("The operators' configuration becomes a policy")
{
    const traffic::TrafficPolicy policy = platform::parsePolicyDocument(R"({
        "version":"r12",
        "routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s",
                             "priority","traffic_split","max_attempts","auth_exempt","service"],
                  "rows":[["a","h.example","/a/","download",1.25,0.5,2,
                           [{"service":"s1","weight":90},{"service":"s2","weight":10}],3,true,null],
                          ["b","h.example","/b/","non_idempotent",1,2,0,null,2,false,"s2"]]},
        "services":{"columns":["name","health_path","max_connections"],
                    "rows":[["s1","/health",424],["s2","/h",null]]},
        "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_s":3,
                  "idle_timeout_s":15},
        "tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],
                   "rows":[["t1",["k1","k2"],1,41.5,40],["t2",["k3"],null,null,null]]}})");
    CHECK(policy.m_version == 12);
    REQUIRE(policy.m_routes.size() == 2);
    CHECK(policy.m_routes[0].m_execution == model::Execution::Idempotent);
    CHECK(policy.m_routes[0].m_timeout == std::chrono::milliseconds{1250});
    CHECK(policy.m_routes[0].m_parts.size() == 2);
    CHECK(policy.m_routes[0].m_open);
    CHECK(policy.m_routes[0].m_maximumAttempts == 3);
    CHECK(policy.m_routes[1].m_execution == model::Execution::OnceOnly);
    CHECK(policy.m_routes[1].m_parts[0].m_service == "s2");
    CHECK(policy.m_requiresKeys);
    CHECK(policy.m_organisations[0].m_rate == Approx(41.5));
    CHECK(policy.m_organisations[0].m_priority == 1);
    CHECK_FALSE(policy.m_organisations[1].m_priority.has_value());
    CHECK(policy.m_organisations[1].m_rate == 0.0);
    CHECK(policy.m_limits.m_idleTimeout == std::chrono::seconds{15});
}

// Guards against a node that rejects a whole configuration because one route is of an unknown kind,
// and against requests of such a route that run twice.
TEST_CASE("A route of an unknown kind is handled as once-only, with a notice")
{
    const auto parseKind = [](const std::string &kind) {
        return platform::parsePolicyDocument(R"({"version":"r1",
            "routes":{"columns":["name","host","prefix","kind","timeout_s","target_latency_s",
                                 "max_attempts","service"],
                      "rows":[["a","h.example","/a/",")"
                                             + kind + R"(",1,1,2,"s1"]]},
            "services":{"columns":["name"],"rows":[["s1"]]}})");
    };
    const traffic::TrafficPolicy unknown = parseKind("stream");
    CHECK(unknown.m_routes[0].m_execution == model::Execution::OnceOnly);
    REQUIRE(unknown.m_notices.size() == 1);
    CHECK(unknown.m_notices[0].m_pointer == "/routes/rows/0/kind");
    CHECK(unknown.m_notices[0].m_value == "stream");
    const traffic::TrafficPolicy upload = parseKind("upload");
    CHECK(upload.m_routes[0].m_execution == model::Execution::OnceOnly);
    CHECK(upload.m_notices.empty());
}

// Guards against a parser that reports only the first fault of a document.
TEST_CASE("Every fault of a configuration is a finding")
{
    const std::string document = R"({
        "version":"12",
        "routes":{"columns":["name","host","prefix","kind","timeout_s"],
                  "rows":[["a","h.example","/a/","odd",-1],["short"]]},
        "services":{"columns":["name"],"rows":[[7]]}})";
    try {
        platform::parsePolicyDocument(document);
        FAIL("the document was accepted");
    } catch (const model::FindingsError &error) {
        // Version, kind, timeout, target latency, service, the short row and the service's name.
        CHECK(error.findings().size() == 7);
    }
    CHECK_THROWS_AS(platform::parsePolicyDocument("{\"version\":"), model::FindingsError);
    CHECK_THROWS_AS(platform::parsePolicyDocument("[]"), model::FindingsError);
}

// Guards against versions that are compared as strings.
TEST_CASE("Versions are numbers")
{
    CHECK(platform::parseVersion("r9") < platform::parseVersion("r10"));
    CHECK_FALSE(platform::parseVersion("r"));
    CHECK_FALSE(platform::parseVersion("9"));
    CHECK_FALSE(platform::parseVersion("r-1"));
    CHECK_FALSE(platform::parseVersion("r1x"));
}
