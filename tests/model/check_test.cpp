#include "model/model.h"
#include "model/support.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace chervilmount::model;
using chervilmount::tests::hasFinding;
using chervilmount::tests::SmallSet;

namespace {

/** A JSON value to set at a pointer of the small configuration; "-" appends to an array. */
struct Change
{
    std::string m_pointer;
    std::string m_value;
};

void applyChange(boost::json::value &set, const Change &change)
{
    const std::size_t end = change.m_pointer.rfind('/');
    const std::string child = change.m_pointer.substr(end + 1);
    boost::json::value &parent = set.at_pointer(change.m_pointer.substr(0, end));
    const boost::json::value value = boost::json::parse(change.m_value);
    if (parent.is_object())
        parent.as_object()[child] = value;
    else if (child == "-")
        parent.as_array().push_back(value);
    else
        parent.as_array().at(std::stoul(child)) = value;
}

std::string changedConfiguration(const std::vector<Change> &changes)
{
    boost::json::value set = boost::json::parse(SmallSet);
    for (const Change &change : changes)
        applyChange(set, change);
    return toText(set);
}

CheckResult checkTexts(const std::vector<SourceText> &texts)
{
    try {
        return {{}, loadConfiguration(texts).m_notes};
    } catch (const FindingsError &error) {
        return {error.findings(), {}};
    }
}

CheckResult checkChanged(const std::vector<Change> &changes)
{
    return checkTexts({{"set.json", changedConfiguration(changes)}});
}

/** Checks that the changes lead to exactly one finding, at the pointer and with a remedy. */
void requireOneFinding(const std::vector<Change> &changes, const std::string &pointer,
                       const std::string &problem)
{
    const CheckResult result = checkChanged(changes);
    INFO(changedConfiguration(changes));
    for (const Finding &finding : result.m_findings)
        UNSCOPED_INFO(toText(finding));
    REQUIRE(result.m_findings.size() == 1);
    CHECK(hasFinding(result.m_findings, "set.json", pointer, problem));
    CHECK(!result.m_findings[0].m_remedy.empty());
}

std::string digestOf(char digit)
{
    return '"' + std::string(64, digit) + '"';
}

std::string key(const std::string &name, const std::string &organisation, char digit)
{
    return R"({"name": ")" + name + R"(", "organisation": ")" + organisation + R"(", "digest": )"
            + digestOf(digit) + "}";
}

std::string route(const std::string &name, const std::string &match)
{
    return R"({"name": ")" + name
            + R"(", "service": "slipdesk", "execution": "idempotent", "priority": "normal", )"
            + match + "}";
}

/** @returns services s0 to s<count - 1> that each call the next one. */
std::string chainOfServices(int count, bool isClosed = false)
{
    std::string text = R"({"services": [)";
    for (int index = 0; index < count; ++index) {
        const bool isLast = index + 1 == count;
        text += std::string(index == 0 ? "" : ", ") + R"({"name": "s)" + std::to_string(index)
                + R"(", "calls": [)"
                + (isLast && !isClosed ? ""
                                       : R"("s)" + std::to_string(isLast ? 0 : index + 1) + '"')
                + "]}";
    }
    return text + "]}";
}

} // namespace

// Guards against false positives.
TEST_CASE("A valid configuration has neither findings nor notes")
{
    const CheckResult result = checkTexts({{"set.json", SmallSet}});
    CHECK(result.m_findings.empty());
    CHECK(result.m_notes.empty());
    CHECK(checkTexts({{"empty.json", "{}"}}).m_findings.empty());
}

// Guards against references that cannot be resolved at run time.
TEST_CASE("Dangling references are findings")
{
    requireOneFinding({{"/services/0/calls/0", R"("x")"}}, "/services/0/calls/0", "dangling");
    requireOneFinding({{"/routes/0/service", R"("x")"}}, "/routes/0/service", "dangling");
    requireOneFinding({{"/routes/0/priority", R"("x")"}}, "/routes/0/priority", "dangling");
    requireOneFinding({{"/organisations/1/shares/0/failureDomain", R"("x")"}},
                      "/organisations/1/shares/0/failureDomain", "dangling");
    requireOneFinding({{"/keys/0/organisation", R"("x")"}}, "/keys/0/organisation", "dangling");
}

// Guards against objects that cannot be told apart.
TEST_CASE("Duplicates are findings that name the first object")
{
    requireOneFinding({{"/failureDomains/1/name", R"("dire-1")"},
                       {"/failureDomains/-", R"({"name": "dire-1", "region": "dire"})"}},
                      "/failureDomains/2/name", "duplicate: set.json#/failureDomains/1 ");
    requireOneFinding({{"/priorities/-", R"({"name": "urgent", "level": 0})"}},
                      "/priorities/2/name", "duplicate");
    requireOneFinding({{"/services/-", R"({"name": "staffrolls"})"}}, "/services/2/name",
                      "duplicate");
    requireOneFinding({{"/routes/-", route("slips", R"("pathPrefix": "/other")")}},
                      "/routes/3/name", "duplicate");
    requireOneFinding({{"/organisations/-", R"({"name": "bole", "rate": 1, "burst": 2})"}},
                      "/organisations/2/name", "duplicate");
    requireOneFinding({{"/keys/-", key("bole-1", "bole", '3')}}, "/keys/2/name", "duplicate");
    requireOneFinding({{"/keys/-", key("bole-2", "bole", '2')}}, "/keys/2/digest", "duplicate");
    requireOneFinding({{"/organisations/1/shares/1/failureDomain", R"("addis-1")"}},
                      "/organisations/1/shares/1/failureDomain", "duplicate");
    requireOneFinding({{"/services/0/calls/-", R"("staffrolls")"}}, "/services/0/calls/1",
                      "duplicate");
    requireOneFinding({{"/routes/0/methods/-", R"("GET")"}}, "/routes/0/methods/1", "duplicate");
}

// Guards against duplicates that are missed because the two objects are in different files.
TEST_CASE("A duplicate across two files names both files")
{
    const CheckResult result = checkTexts(
            {{"a.json", SmallSet}, {"b.json", R"({"services": [{"name": "slipdesk"}]})"}});
    REQUIRE(result.m_findings.size() == 1);
    CHECK(hasFinding(result.m_findings, "b.json", "/services/0/name", "a.json#/services/0"));
}

// Guards against values that overflow a node's integers or break its windows and token buckets.
TEST_CASE("Values out of range are findings")
{
    const std::vector<std::pair<Change, bool>> changes{
            {{"/priorities/0/level", "8"}, false},
            {{"/priorities/0/level", "-1"}, false},
            {{"/priorities/0/level", "7"}, true},
            {{"/routes/0/timeoutMilliseconds", "0"}, false},
            {{"/routes/0/timeoutMilliseconds", "3600001"}, false},
            {{"/routes/0/timeoutMilliseconds", "3600000"}, true},
            {{"/routes/0/extraAttempts", "6"}, false},
            {{"/routes/0/extraAttempts", "-1"}, false},
            {{"/routes/0/extraAttempts", "5"}, true},
            {{"/routes/0/maximumBodyBytes", "1073741825"}, false},
            {{"/routes/0/maximumBodyBytes", "0"}, true},
            {{"/organisations/0/rate", "0"}, false},
            {{"/organisations/0/rate", "1000000001"}, false},
            {{"/organisations/0/rate", "0.5"}, true},
            {{"/organisations/0/burst", "0.5"}, false},
            {{"/organisations/0/burst", "1e300"}, false},
            {{"/organisations/1/shares/0/fraction", "-0.1"}, false},
            {{"/organisations/1/shares/0/fraction", "1.1"}, false},
            {{"/organisations/0/servesWithoutProofSeconds", "3601"}, false},
            {{"/organisations/0/servesWithoutProofSeconds", "-1"}, false},
            {{"/organisations/0/servesWithoutProofSeconds", "3600"}, true},
    };
    for (const auto &[change, isAccepted] : changes) {
        INFO(change.m_pointer << " " << change.m_value);
        if (isAccepted)
            CHECK(checkChanged({change}).m_findings.empty());
        else
            requireOneFinding({change}, change.m_pointer, "out of range");
    }
}

// Guards against names that break row names, and route patterns that no request can match.
TEST_CASE("Malformed names, hosts, methods, prefixes and digests are findings")
{
    const std::string longName = '"' + std::string(65, 'a') + '"';
    requireOneFinding({{"/keys/0/name", R"("a/b")"}}, "/keys/0/name", "not accepted");
    requireOneFinding({{"/keys/0/name", R"("")"}}, "/keys/0/name", "empty name");
    requireOneFinding({{"/keys/0/name", longName}}, "/keys/0/name", "too long");
    requireOneFinding({{"/failureDomains/0/region", R"("a b")"}}, "/failureDomains/0/region",
                      "not accepted");
    requireOneFinding({{"/routes/0/host", R"("Slips.example:80")"}}, "/routes/0/host",
                      "not a host name");
    requireOneFinding({{"/routes/0/methods/0", R"("get")"}}, "/routes/0/methods/0",
                      "not an HTTP method");
    for (const char *prefix : {"slips", "", "/slips/", "/a//b", "/a/../b", "/.", "/a?b", "/a b"}) {
        INFO(prefix);
        requireOneFinding({{"/routes/0/pathPrefix", '"' + std::string(prefix) + '"'}},
                          "/routes/0/pathPrefix", "path prefix");
    }
    requireOneFinding({{"/keys/0/digest", R"("1234")"}}, "/keys/0/digest", "not a digest");
    requireOneFinding({{"/keys/0/digest", digestOf('A')}}, "/keys/0/digest", "not a digest");
    CHECK(checkChanged({{"/routes/0/pathPrefix", R"("/")"}}).m_findings.empty());
}

// Guards against base shares that together exceed the organisation's rate.
TEST_CASE("Base shares above 1 are a finding")
{
    requireOneFinding({{"/organisations/1/shares/0/fraction", "0.76"}}, "/organisations/1/shares",
                      "sum to more than 1");
    CHECK(checkChanged({{"/organisations/1/shares/0/fraction", "0.7"}}).m_findings.empty());
}

// Guards against valid shares that are rejected because of rounding: summing 0.05 twenty times
// gives more than 1 in binary floating point.
TEST_CASE("Twenty shares of a twentieth are accepted")
{
    std::string domains;
    std::string shares;
    for (int index = 0; index < 20; ++index) {
        const std::string separator = index == 0 ? "" : ", ";
        const std::string name = "d" + std::to_string(index);
        domains += separator + R"({"name": ")" + name + R"(", "region": "r"})";
        shares += separator + R"({"failureDomain": ")" + name + R"(", "fraction": 0.05})";
    }
    const std::string text = R"({"failureDomains": [)" + domains
            + R"(], "organisations": [{"name": "o", "rate": 1, "burst": 20, "shares": [)" + shares
            + "]}]}";
    CHECK(checkTexts({{"set.json", text}}).m_findings.empty());
}

// Guards against requests that are attributed to the wrong organisation.
TEST_CASE("A key shared by two organisations is a finding")
{
    requireOneFinding({{"/keys/1/digest", digestOf('1')}}, "/keys/1/digest",
                      "key shared by two organisations: key \"abeba-1\"");
}

// Guards against call cycles, whose requests fail only when the path depth limit is reached.
TEST_CASE("Each cycle of service calls is one finding with its path")
{
    requireOneFinding({{"/services/1/calls", R"(["slipdesk"])"}}, "/services/0/calls",
                      "cycle of service calls: slipdesk -> staffrolls -> slipdesk");
    requireOneFinding({{"/services/1/calls", R"(["staffrolls"])"}}, "/services/1/calls",
                      "cycle of service calls: staffrolls -> staffrolls");
    const CheckResult result = checkTexts({{"set.json",
                                            R"({"services": [{"name": "a", "calls": ["b"]},
        {"name": "b", "calls": ["c"]}, {"name": "c", "calls": ["b", "d"]},
        {"name": "d", "calls": ["e"]}, {"name": "e", "calls": ["f"]}, {"name": "f", "calls": ["d"]}]})"}});
    REQUIRE(result.m_findings.size() == 2);
    CHECK(hasFinding(result.m_findings, "set.json", "/services/1/calls", "b -> c -> b"));
    CHECK(hasFinding(result.m_findings, "set.json", "/services/3/calls", "d -> e -> f -> d"));
}

// Guards against call chains that a node would refuse at the 16th call.
TEST_CASE("A path of 15 calls is accepted and one of 16 is a finding")
{
    CHECK(checkTexts({{"set.json", chainOfServices(15)}}).m_findings.empty());
    const CheckResult result = checkTexts({{"set.json", chainOfServices(16)}});
    REQUIRE(result.m_findings.size() == 1);
    CHECK(hasFinding(result.m_findings, "set.json", "/services/0/calls",
                     "16 calls deep: s0 -> s1"));
}

// Guards against a stack overflow on long call chains.
TEST_CASE("Very long chains and cycles are searched without recursion")
{
    CHECK(checkTexts({{"set.json", chainOfServices(100000)}}).m_findings.size() == 1);
    CHECK(checkTexts({{"set.json", chainOfServices(100000, true)}}).m_findings.size() == 1);
}

// Guards against requests that match another route than the operator expects.
TEST_CASE("Shadowed and unreachable routes are findings")
{
    const std::string slips = R"("pathPrefix": "/slips")";
    requireOneFinding({{"/routes/-", route("two", slips + R"(, "methods": ["PUT", "GET"])")}},
                      "/routes/3/pathPrefix",
                      "shadowed route: GET requests match \"slips\" (set.json#/routes/0)");
    requireOneFinding({{"/routes/-", route("two", slips + R"(, "methods": ["GET"])")}},
                      "/routes/3/pathPrefix", "unreachable route");
    requireOneFinding({{"/routes/-", route("two", R"("pathPrefix": "/status")")}},
                      "/routes/3/pathPrefix", "unreachable route");
    requireOneFinding({{"/routes/-", route("two", slips + R"(, "methods": ["PUT"])")},
                       {"/routes/-", route("three", slips + R"(, "methods": ["PUT", "GET"])")}},
                      "/routes/4/pathPrefix",
                      "unreachable route: all of its requests match \"two\" (set.json#/routes/3), "
                      "\"slips\"");
}

// Guards against findings for routes that the matching rules can tell apart.
TEST_CASE("Routes that differ in host, prefix or methods are accepted")
{
    const std::string slips = R"("pathPrefix": "/slips")";
    CHECK(checkChanged({{"/routes/-", route("any", slips)},
                        {"/routes/-", route("host", slips + R"(, "host": "slips.example")")},
                        {"/routes/-", route("put", slips + R"(, "methods": ["PUT"])")},
                        {"/routes/-", route("deep", R"("pathPrefix": "/slips/old")")},
                        {"/routes/-", route("root", R"("pathPrefix": "/")")}})
                  .m_findings.empty());
}

// Guards against print orders that could run twice.
TEST_CASE("Once-only routes with retries are findings")
{
    requireOneFinding({{"/routes/2/extraAttempts", "2"}}, "/routes/2/extraAttempts",
                      "once-only route with retries");
    CHECK(checkChanged({{"/routes/2/extraAttempts", "1"}}).m_findings.empty());
    boost::json::value set = boost::json::parse(SmallSet);
    set.at("routes").at(2).as_object().erase("extraAttempts");
    const CheckResult result = checkTexts({{"set.json", toText(set)}});
    CHECK(hasFinding(result.m_findings, "set.json", "/routes/2/extraAttempts",
                     "once-only route with retries"));
}

// Guards against a once-only request without an organisation, which cannot be claimed.
TEST_CASE("An open once-only route is a finding")
{
    requireOneFinding({{"/routes/2/open", "true"}}, "/routes/2/open",
                      "once-only route without key");
}

// Guards against settings that silently let withdrawn keys stay valid.
TEST_CASE("Serving without proof and a small burst are notes")
{
    const CheckResult proof = checkChanged({{"/organisations/0/servesWithoutProofSeconds", "60"}});
    CHECK(proof.m_findings.empty());
    REQUIRE(proof.m_notes.size() == 1);
    CHECK(hasFinding(proof.m_notes, "set.json", "/organisations/0/servesWithoutProofSeconds",
                     "withdrawn keys of organisation \"abeba\" can work for up to 60 s"));
    const CheckResult burst = checkChanged({{"/organisations/1/burst", "3"}});
    CHECK(burst.m_findings.empty());
    REQUIRE(burst.m_notes.size() == 1);
    CHECK(hasFinding(burst.m_notes, "set.json", "/organisations/1/burst", "less than one request"));
}

// Guards against a check that stops at the first mistake: operators need all of them in one run.
TEST_CASE("Ten mistakes at once give exactly these ten findings in document order")
{
    const CheckResult result = checkTexts(
            {{"a.json",
              changedConfiguration({{"/priorities/0/level", "9"},
                                    {"/services/1/calls", R"(["slipdesk"])"},
                                    {"/routes/0/service", R"("slipdsk")"},
                                    {"/routes/1/priority", "5"},
                                    {"/routes/2/extraAttempts", "3"},
                                    {"/organisations/1/shares/0/fraction", "0.9"},
                                    {"/keys/1/digest", digestOf('1')}})},
             {"b.json", R"({"services": [{"name": "slipdesk"}], "routes": [{"name": "late",
                "service": "slipdesk", "pathPrefix": "/status", "execution": "idempotent",
                "priority": "normal", "timeout": 5}]})"}});
    const std::vector<std::array<std::string, 3>> expected{
            {"a.json", "/priorities/0/level", "out of range"},
            {"a.json", "/services/0/calls", "cycle"},
            {"a.json", "/routes/0/service", "dangling"},
            {"a.json", "/routes/1/priority", "not a string"},
            {"a.json", "/routes/2/extraAttempts", "once-only route with retries"},
            {"a.json", "/organisations/1/shares", "sum to more than 1"},
            {"a.json", "/keys/1/digest", "shared by two organisations"},
            {"b.json", "/services/0/name", "duplicate"},
            {"b.json", "/routes/0/timeout", "unknown field"},
            {"b.json", "/routes/0/pathPrefix", "unreachable"}};
    REQUIRE(result.m_findings.size() == expected.size());
    for (std::size_t index = 0; index < expected.size(); ++index) {
        const Finding &finding = result.m_findings[index];
        INFO(toText(finding));
        CHECK(finding.m_source == expected[index][0]);
        CHECK(finding.m_pointer == expected[index][1]);
        CHECK(finding.m_problem.find(expected[index][2]) != std::string::npos);
        CHECK(!finding.m_remedy.empty());
    }
}

// Guards against a second, misleading finding about the default of a value that was not read.
TEST_CASE("A value that could not be read has one finding")
{
    requireOneFinding({{"/organisations/0/rate", R"("fast")"}}, "/organisations/0/rate",
                      "not a number");
    requireOneFinding({{"/routes/0/service", "1"}}, "/routes/0/service", "not a string");
}
