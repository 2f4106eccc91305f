#include "model/model.h"
#include "model/support.h"

#include <catch2/catch.hpp>

using namespace chervilmount::model;
using chervilmount::tests::findingsOf;
using chervilmount::tests::hasFinding;
using chervilmount::tests::SmallSet;

// Guards against fields that are lost, altered or read into the wrong member by serialisation.
TEST_CASE("A configuration keeps every field through JSON")
{
    const Configuration set = parseConfiguration({{"set.json", R"({
        "failureDomains": [{"name": "addis-1", "region": "addis"}],
        "priorities": [{"name": "urgent", "level": 3}],
        "services": [{"name": "slipdesk", "calls": ["staffrolls"]}, {"name": "staffrolls"}],
        "routes": [{"name": "slips", "service": "slipdesk", "host": "slips.example",
            "methods": ["GET", "HEAD"], "pathPrefix": "/slips", "execution": "onceOnly",
            "open": true, "priority": "urgent", "timeoutMilliseconds": 1500, "extraAttempts": 1,
            "crossRegion": true, "maximumBodyBytes": 10}],
        "organisations": [{"name": "abeba", "rate": 12.5, "burst": 100,
            "shares": [{"failureDomain": "addis-1", "fraction": 0.1}],
            "servesWithoutProofSeconds": 60}],
        "keys": [{"name": "abeba-1", "organisation": "abeba", "digest": "00ff"}]})"}});
    REQUIRE(set.m_routes.size() == 1);
    const Route &route = set.m_routes[0];
    CHECK(route.m_host == "slips.example");
    CHECK(route.m_methods == std::vector<std::string>{"GET", "HEAD"});
    CHECK(route.m_pathPrefix == "/slips");
    CHECK(route.m_execution == Execution::OnceOnly);
    CHECK(route.m_open);
    CHECK(route.m_timeout == std::chrono::milliseconds(1500));
    CHECK(route.m_extraAttempts == 1);
    CHECK(route.m_crossRegion);
    CHECK(route.m_maximumBodyBytes == 10);
    CHECK(set.m_priorities[0].m_level == 3);
    CHECK(set.m_services[0].m_calls == std::vector<std::string>{"staffrolls"});
    CHECK(set.m_organisations[0].m_rate == 12.5);
    CHECK(set.m_organisations[0].m_shares[0].m_fraction == 0.1);
    CHECK(set.m_organisations[0].m_servesWithoutProof == std::chrono::seconds(60));
    CHECK(set.m_keys[0].m_digest == "00ff");

    const std::string text = canonicalText(set);
    CHECK(canonicalText(parseConfiguration({{"again.json", text}})) == text);
    CHECK(text.find(R"("rate":12.5,"burst":100)") != std::string::npos);
    CHECK(text.find(R"("fraction":0.1})") != std::string::npos);
}

// Guards against wrong defaults of optional fields.
TEST_CASE("Omitted optional fields take the documented defaults")
{
    const Configuration set = parseConfiguration({{"set.json", SmallSet}});
    REQUIRE(!set.m_routes.empty());
    CHECK(set.m_routes[0].m_timeout == std::chrono::milliseconds(2000));
    CHECK(set.m_routes[0].m_extraAttempts == 2);
    CHECK(!set.m_routes[0].m_crossRegion);
    CHECK(set.m_organisations[0].m_servesWithoutProof == std::chrono::seconds(0));
}

// Guards against numbers that change with each round trip, and the configuration hash with them:
// Boost.JSON parses some fractions with an error in the last digit.
TEST_CASE("Fractions are stable over repeated reading and writing")
{
    for (int step = 1; step < 5000; ++step) {
        Configuration set;
        set.m_organisations.push_back(
                {"a", step / 7.0, step * 1234.567891, {{"d", step / 5003.0}}, {}});
        const std::string first = canonicalText(set);
        const std::string second = canonicalText(parseConfiguration({{"set", first}}));
        REQUIRE(first == second);
    }
}

// Guards against a parser that stops at the first problem or reports a wrong location.
TEST_CASE("Parsing reports all findings of all files with file, pointer, value and remedy")
{
    const Findings findings = findingsOf(
            {{"a.json", R"({"services": [{"name": 7, "calls": "x"}], "servces": []})"},
             {"b.json", R"({"routes": [{"name": "r", "service": "s", "pathPrefix": "/",
                "execution": "twice", "priority": "p", "open": 1, "extraAttempts": 2.5,
                "maximumBodyBytes": -1, "timeoutMilliseconds": "2s", "hots": "x"}, 5],
                "priorities": [{"name": "p", "level": 99999999999}]})"},
             {"c.json", "{\n  \"keys\": [}"},
             {"d.json",
              R"({"organisations": [{"name": "o", "name": "p", "rate": 1e999, "burst": 2}]})"}});
    CHECK(hasFinding(findings, "a.json", "/services/0/name", "not a string"));
    CHECK(hasFinding(findings, "a.json", "/services/0/calls", "not an array"));
    CHECK(hasFinding(findings, "a.json", "/servces", "unknown field"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/execution", "not one of the accepted words"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/open", "not a Boolean"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/extraAttempts", "not an integer"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/maximumBodyBytes", "out of range"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/timeoutMilliseconds", "not an integer"));
    CHECK(hasFinding(findings, "b.json", "/routes/0/hots", "unknown field"));
    CHECK(hasFinding(findings, "b.json", "/routes/1", "not an object"));
    CHECK(hasFinding(findings, "b.json", "/priorities/0/level", "out of range"));
    CHECK(hasFinding(findings, "c.json", "", "line 2, column"));
    CHECK(hasFinding(findings, "d.json", "/organisations/0/name", "occurs twice"));
    CHECK(hasFinding(findings, "d.json", "/organisations/0/rate", "out of range"));
    CHECK(findings.size() == 14);
    for (const Finding &finding : findings)
        CHECK(!finding.m_remedy.empty());
}

// Guards against pointers that are ambiguous when a field name contains '/' or '~'.
TEST_CASE("Pointers escape the characters that RFC 6901 names")
{
    CHECK(childPointer("/a", "b/c~d") == "/a/b~1c~0d");
    const Findings findings = findingsOf({{"a.json", R"({"a/b": 1})"}});
    CHECK(hasFinding(findings, "a.json", "/a~1b", "unknown field"));
}

// Guards against duplicate fields that are missed in nested objects or array elements.
TEST_CASE("Duplicate fields are found at any depth and only there")
{
    const Findings findings = findingsOf({{"a.json",
                                           R"({"keys": [[1, 2], {"name": "x"}, {"organisation": "o",
            "digest": "d", "name": "x", "na\u006de": "y"}]})"}});
    CHECK(hasFinding(findings, "a.json", "/keys/2/name", "occurs twice"));
    CHECK(!hasFinding(findings, "a.json", "/keys/1/name", "occurs twice"));
}

// Guards against reports of unbounded length.
TEST_CASE("Quoted values are cut at a character boundary")
{
    std::string text;
    for (int count = 0; count < 200; ++count)
        text += "\xC3\xA4";
    const std::string quoted = excerpt(boost::json::value(text));
    CHECK(quoted.size() < 200);
    CHECK(quoted.substr(quoted.size() - 5) == "\xC3\xA4...");
}

// Guards against merging that drops the objects of one file.
TEST_CASE("Sections of several files are merged in order")
{
    Findings findings;
    const LocatedConfiguration set =
            readConfiguration({{"a.json", R"({"services": [{"name": "one"}]})"},
                               {"b.json", R"({"services": [{"name": "two"}]})"}},
                              findings);
    CHECK(findings.empty());
    REQUIRE(set.m_configuration.m_services.size() == 2);
    CHECK(set.m_configuration.m_services[1].m_name == "two");
    CHECK(set.m_locations.of(ObjectKind::Service)[1].m_source == "b.json");
    CHECK(set.m_locations.of(ObjectKind::Service)[1].m_pointer == "/services/0");
}
