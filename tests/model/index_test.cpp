#include "model/model.h"
#include "model/support.h"

#include <catch2/catch.hpp>

#include <random>

using namespace chervilmount::model;
using chervilmount::tests::SmallSet;

namespace {

Route makeRoute(const std::string &name, const std::string &host, const std::string &prefix,
                std::vector<std::string> methods = {})
{
    Route route;
    route.m_name = name;
    route.m_host = host;
    route.m_pathPrefix = prefix;
    route.m_methods = std::move(methods);
    return route;
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "none" : route->m_name;
}

bool matches(const Route &route, const std::string &host, const std::string &method,
             const std::string &path)
{
    const bool isPrefix = route.m_pathPrefix == "/" || path == route.m_pathPrefix
            || path.starts_with(route.m_pathPrefix + "/");
    const bool isMethod = route.m_methods.empty()
            || std::count(route.m_methods.begin(), route.m_methods.end(), method) != 0;
    return isPrefix && isMethod && (route.m_host.empty() || route.m_host == host);
}

/** Reference implementation of the matching rules: a scan over all routes. */
const Route *findByScan(const std::vector<Route> &routes, const std::string &host,
                        const std::string &method, const std::string &path)
{
    const Route *best = nullptr;
    const auto rankOf = [](const Route &route) {
        return std::make_tuple(!route.m_host.empty(), route.m_pathPrefix.size(),
                               !route.m_methods.empty());
    };
    for (const Route &route : routes) {
        if (matches(route, host, method, path)
            && (best == nullptr || rankOf(route) > rankOf(*best)))
            best = &route;
    }
    return best;
}

} // namespace

// Guards against deviations from the documented matching rules.
TEST_CASE("Routes are found by host, longest prefix and method")
{
    const RouteTable table({makeRoute("root", "", "/"), makeRoute("slips", "", "/slips", {"GET"}),
                            makeRoute("old", "", "/slips/old"),
                            makeRoute("slips-any", "", "/slips"),
                            makeRoute("host", "pay.example", "/slips", {"PUT"})});
    CHECK(nameOf(table.find("x", "GET", "/slips")) == "slips");
    CHECK(nameOf(table.find("x", "GET", "/slips/7?page=2")) == "slips");
    CHECK(nameOf(table.find("x", "PUT", "/slips/7")) == "slips-any");
    CHECK(nameOf(table.find("x", "GET", "/slips/old/7/8/9")) == "old");
    CHECK(nameOf(table.find("x", "GET", "/slipshod")) == "root");
    CHECK(nameOf(table.find("x", "GET", "/slips?old")) == "slips");
    CHECK(nameOf(table.find("Pay.Example:8080", "PUT", "/slips/old")) == "host");
    CHECK(nameOf(table.find("pay.example", "GET", "/slips/old")) == "old");
    CHECK(nameOf(table.find("", "GET", "/")) == "root");
    CHECK(nameOf(table.find("x", "GET", "*")) == "none");
    CHECK(nameOf(table.find("x", "GET", "")) == "none");
    CHECK(nameOf(table.find(std::string(300, 'a'), "GET", "/slips")) == "slips");
    CHECK(nameOf(RouteTable().find("x", "GET", "/")) == "none");
}

// Guards against path traversal: a request that matches an open route although the backend server
// normalises its path to one that needs a key.
TEST_CASE("Paths with dot segments match no route")
{
    const RouteTable table({makeRoute("root", "", "/"), makeRoute("status", "", "/status")});
    for (const char *path :
         {"/status/../prints", "/status/..", "/status/./x", "/status/%2e%2E/prints", "/status/.%2e",
          "/status%2f..%2Fprints", "/status/..\\prints", "/status%5c..%5Cprints"}) {
        INFO(path);
        CHECK(nameOf(table.find("x", "GET", path)) == "none");
    }
    CHECK(nameOf(table.find("x", "GET", "/status/...")) == "status");
    CHECK(nameOf(table.find("x", "GET", "/status/a..b/.c?x=../y")) == "status");
}

// Guards against index structures that deviate from the reference implementation.
TEST_CASE("Look-ups agree with a scan of all routes")
{
    std::mt19937_64 random(42);
    const std::vector<std::string> hosts{"", "a.example", "b.example"};
    const std::vector<std::string> words{"x", "y", "xy"};
    const std::vector<std::string> methods{"GET", "PUT"};
    const auto pick = [&random](const std::vector<std::string> &list) -> const std::string & {
        return list[random() % list.size()];
    };
    const auto path = [&] {
        std::string text;
        for (std::uint64_t count = random() % 5; count > 0; --count)
            text += "/" + pick(words);
        return text.empty() ? std::string("/") : text;
    };
    for (int round = 0; round < 200; ++round) {
        LocatedConfiguration set;
        std::vector<Route> &routes = set.m_configuration.m_routes;
        for (int count = 0; count < 12; ++count) {
            routes.push_back(makeRoute(std::to_string(count), pick(hosts), path()));
            if (random() % 2 == 0)
                routes.back().m_methods = {pick(methods)};
        }
        const RouteTable table(routes);
        for (int request = 0; request < 50; ++request) {
            const std::string host = pick(hosts);
            const std::string &method = pick(methods);
            const std::string target = path();
            const std::string expected = nameOf(findByScan(routes, host, method, target));
            INFO(host << " " << method << " " << target);
            REQUIRE(nameOf(table.find(host, method, target)) == expected);
        }
    }
}

// Guards against an incompatible HMAC; the expected value is RFC 4231, test case 6.
TEST_CASE("Key digests are HMAC-SHA-256")
{
    const KeyDigester digester(std::string(131, '\xaa'));
    CHECK(toHex(digester.digest("Test Using Larger Than Block-Size Key - Hash Key First"))
          == "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54");
    const KeyDigester copy = digester;
    CHECK(copy.digest("a") == digester.digest("a"));
    CHECK(copy.digest("a") != digester.digest("b"));
    CHECK_THROWS_AS(KeyDigester("too short"), std::invalid_argument);
}

// Guards against hex texts that nodes could parse differently.
TEST_CASE("Digests are read from lower-case hex only")
{
    const Digest digest = sha256("abc");
    CHECK(toHex(digest) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(digestFromHex(toHex(digest)) == digest);
    CHECK(!digestFromHex("ba"));
    CHECK(!digestFromHex(std::string(64, 'A')));
    CHECK(!digestFromHex(std::string(64, 'g')));
}

// Guards against keys that are found under another digest or after their withdrawal.
TEST_CASE("Keys are found by digest only while they are in the set")
{
    Configuration set = parseConfiguration({{"set.json", SmallSet}});
    const Digest digest = *digestFromHex(std::string(64, '1'));
    const ConfigurationIndex index(VersionedConfiguration(set, 1));
    REQUIRE(index.keys().find(digest) != nullptr);
    CHECK(index.keys().find(digest)->m_organisation == "abeba");
    CHECK(index.keys().find(sha256("other")) == nullptr);
    set.m_keys.erase(set.m_keys.begin());
    CHECK(KeyTable(set.m_keys).find(digest) == nullptr);
}

// Guards against look-ups that return the wrong object or none.
TEST_CASE("Objects are found by name")
{
    const ConfigurationIndex index(
            VersionedConfiguration(parseConfiguration({{"set.json", SmallSet}}), 5));
    CHECK(index.version().m_version == 5);
    REQUIRE(index.organisation("bole") != nullptr);
    CHECK(index.organisation("bole")->m_rate == 10);
    CHECK(index.organisation("bol") == nullptr);
    REQUIRE(index.priority("urgent") != nullptr);
    CHECK(index.priority("urgent")->m_level == 1);
    CHECK(index.service("staffrolls") != nullptr);
    CHECK(index.failureDomain("dire-1")->m_region == "dire");
}
