#include "traffic/policy/policycheck.h"
#include "traffic/policy/policyindex.h"
#include "traffic/split/splitchooser.h"

#include <catch2/catch.hpp>

#include <map>

using namespace chervilmount;
using namespace chervilmount::traffic;

namespace {

RoutePolicy route(const std::string &name, const std::string &host, const std::string &prefix,
                  int priority = 0)
{
    RoutePolicy policy;
    policy.m_name = name;
    policy.m_host = host;
    policy.m_prefix = prefix;
    policy.m_timeout = std::chrono::seconds{1};
    policy.m_targetLatency = std::chrono::seconds{1};
    policy.m_priority = priority;
    policy.m_parts = {{"slips", 1.0}};
    return policy;
}

TrafficPolicy validPolicy()
{
    TrafficPolicy policy;
    policy.m_version = 1;
    policy.m_services = {{"slips", "/health", 10}, {"orders", "/health", 10}};
    policy.m_routes = {route("lookup", "a.example", "/slips/", 2),
                       route("order", "a.example", "/slips/orders/", 0),
                       route("other", "b.example", "/", 1)};
    policy.m_organisations = {{"large", {"key-1", "key-2"}, 1, 10.0, 10.0},
                              {"small", {"key-3"}, std::nullopt, 0.0, 0.0}};
    policy.m_requiresKeys = true;
    return policy;
}

} // namespace

// Guards against matching a route whose prefix is not a prefix of the path.
TEST_CASE("The route with the longest prefix that begins the path is found")
{
    const PolicyIndex index(validPolicy());
    REQUIRE(index.findRoute("A.example:80", "/slips/orders/7?x=1") != nullptr);
    CHECK(index.findRoute("A.example:80", "/slips/orders/7?x=1")->m_name == "order");
    CHECK(index.findRoute("a.example", "/slips/7")->m_name == "lookup");
    CHECK(index.findRoute("a.example", "/slips") == nullptr);
    CHECK(index.findRoute("a.example", "/") == nullptr);
    CHECK(index.findRoute("c.example", "/slips/7") == nullptr);
    CHECK(index.findRoute("a.example", "/x?/slips/") == nullptr);
}

// Guards against accepting a revoked or unknown key as that of another organisation.
TEST_CASE("Keys belong to the organisation that holds them")
{
    const PolicyIndex index(validPolicy());
    REQUIRE(index.findKey("key-2") != nullptr);
    CHECK(index.findKey("key-2")->m_name == "large");
    CHECK(index.findKey("key-4") == nullptr);
    CHECK(index.findKey("") == nullptr);
}

// Guards against shedding requests on an important route before those on a less important one.
TEST_CASE("The route's priority decides before the organisation's")
{
    const PolicyIndex index(validPolicy());
    const RoutePolicy &lookup = *index.routeNamed("lookup");
    const RoutePolicy &order = *index.routeNamed("order");
    const OrganisationPolicy &large = *index.findKey("key-1");
    const OrganisationPolicy &small = *index.findKey("key-3");
    CHECK(index.importance(order, &large) < index.importance(lookup, &large));
    // An organisation without a priority of its own has that of the route.
    CHECK(index.importance(order, &small) < index.importance(order, &large));
    CHECK(index.importance(lookup, &large) < index.importance(lookup, &small));
}

// Guards against a policy that is applied only in part.
TEST_CASE("A policy is checked as a whole and every finding is reported")
{
    CHECK(checkPolicy(validPolicy(), "test").empty());
    TrafficPolicy policy = validPolicy();
    policy.m_routes[0].m_parts = {{"absent", 1.0}};
    policy.m_routes[1].m_parts = {{"slips", 0.0}};
    policy.m_routes[2].m_maximumAttempts = 0;
    policy.m_routes.push_back(route("twin", "b.example", "/"));
    policy.m_organisations[1].m_keys = {"key-1"};
    const model::Findings findings = checkPolicy(policy, "test");
    CHECK(findings.size() == 5);
    for (const model::Finding &finding : findings) {
        CHECK_FALSE(finding.m_pointer.empty());
        // Keys are secret and must not appear in logs.
        CHECK(finding.m_value.find("key-1") == std::string::npos);
    }
}

// Guards against a split that follows its weights only on average over many requests.
TEST_CASE("A split keeps to its weights over few requests")
{
    RoutePolicy split = route("split", "a.example", "/");
    split.m_parts = {{"slips", 90.0}, {"orders", 10.0}};
    SplitStates states;
    std::map<std::string, int> counts;
    for (int request = 0; request < 20; ++request)
        ++counts[chooseSplitPart(states, split)];
    CHECK(counts["slips"] == 18);
    CHECK(counts["orders"] == 2);
}

// Guards against sending requests to a part whose weight was changed to 0.
TEST_CASE("A changed split takes effect with the next request")
{
    RoutePolicy split = route("split", "a.example", "/");
    split.m_parts = {{"slips", 50.0}, {"orders", 50.0}};
    SplitStates states;
    for (int request = 0; request < 7; ++request)
        chooseSplitPart(states, split);
    split.m_parts = {{"slips", 0.0}, {"orders", 1.0}};
    for (int request = 0; request < 20; ++request)
        CHECK(chooseSplitPart(states, split) == "orders");
}
