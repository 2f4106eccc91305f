#include "model/model.h"
#include "model/support.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace chervilmount::model;
using chervilmount::tests::SmallSet;

namespace {

Configuration smallConfiguration()
{
    return parseConfiguration({{"set.json", SmallSet}});
}

template<typename Objects>
void changeAtRandom(Objects &objects, std::mt19937_64 &random)
{
    typename Objects::value_type object;
    object.m_name = "n" + std::to_string(random() % 40);
    std::erase_if(objects, [&](const auto &other) { return other.m_name == object.m_name; });
    if (random() % 3 != 0)
        objects.insert(objects.begin()
                               + static_cast<std::ptrdiff_t>(random() % (objects.size() + 1)),
                       object);
}

/** @returns the configuration with random objects added, removed, moved and changed. */
Configuration changedAtRandom(Configuration set, std::mt19937_64 &random)
{
    visitKinds(set, [&random](ObjectKind, auto &objects) {
        for (std::uint64_t change = random() % 10; change > 0; --change)
            changeAtRandom(objects, random);
    });
    for (Route &route : set.m_routes) {
        if (random() % 4 == 0)
            route.m_timeout = std::chrono::milliseconds(random() % 5000);
    }
    for (Organisation &organisation : set.m_organisations) {
        if (random() % 4 == 0)
            organisation.m_rate = static_cast<double>(random() % 1000) / 7.0;
    }
    return set;
}

} // namespace

// Guards against deltas that lose a change, also after a round trip through JSON.
TEST_CASE("Applying a delta gives the new configuration for random pairs")
{
    std::mt19937_64 random(20261204);
    Configuration from;
    for (int round = 0; round < 500; ++round) {
        const Configuration to = changedAtRandom(from, random);
        const ConfigurationDelta delta = makeDelta(from, 1, to, 2);
        REQUIRE(canonicalText(apply(delta, from)) == canonicalText(to));
        const ConfigurationDelta sent =
                parseDelta(boost::json::parse(toText(toJson(delta))), {"peer", ""});
        REQUIRE(canonicalText(apply(sent, from)) == canonicalText(to));
        REQUIRE(toText(toJson(sent)) == toText(toJson(delta)));
        REQUIRE(diff(from, to).empty() == (canonicalText(from) == canonicalText(to)));
        from = to;
    }
}

// Guards against incrementally updated hashes that drift from a full computation.
TEST_CASE("Incrementally updated hashes equal hashes computed from scratch")
{
    std::mt19937_64 random(7);
    VersionedConfiguration held;
    Configuration from;
    for (std::uint64_t version = 1; version <= 200; ++version) {
        const Configuration to = changedAtRandom(from, random);
        REQUIRE(held.apply(makeDelta(from, version - 1, to, version)) == OfferDecision::Adopt);
        REQUIRE(held.version().m_version == version);
        REQUIRE(held.version().m_hash == configurationHash(to));
        REQUIRE(canonicalText(held.configuration()) == canonicalText(to));
        from = to;
    }
}

// Guards against a configuration hash that depends on the order of objects or ignores a field.
TEST_CASE("The configuration hash ignores order and covers every field")
{
    Configuration set = smallConfiguration();
    const Digest hash = configurationHash(set);
    std::swap(set.m_routes[0], set.m_routes[1]);
    std::swap(set.m_organisations[1].m_shares[0], set.m_organisations[1].m_shares[1]);
    CHECK(configurationHash(set) == hash);
    set.m_routes[0].m_crossRegion = true;
    CHECK(configurationHash(set) != hash);
}

// Guards against a canonical form that changes between builds: nodes of mixed versions would
// reject each other's configurations.
TEST_CASE("The hash of the small configuration is fixed")
{
    CHECK(toHex(configurationHash(smallConfiguration()))
          == "726307a65e18c31f72b81d73449eac84b5b552285430ac1e9215f6e9fe73dcdc");
    CHECK(toHex(configurationHash({}))
          == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

// Guards against a configuration that reverts to an older version or adopts a mismatching one.
TEST_CASE("Only newer versions are adopted")
{
    const Configuration one = smallConfiguration();
    Configuration two = one;
    two.m_keys.pop_back();
    Configuration three = two;
    three.m_keys.clear();
    VersionedConfiguration held(two, 2);
    const ConfigurationVersion version = held.version();

    CHECK(held.apply(makeDelta({}, 0, one, 1)) == OfferDecision::Older);
    CHECK(held.apply(makeDelta(three, 3, one, 1)) == OfferDecision::Older);
    CHECK(held.apply(makeDelta(one, 1, two, 2)) == OfferDecision::Known);
    CHECK(held.apply(makeDelta(one, 1, three, 2)) == OfferDecision::Mismatch);
    CHECK(held.apply(makeDelta(one, 1, three, 3)) == OfferDecision::Gap);
    CHECK(held.apply(makeDelta(three, 3, one, 4)) == OfferDecision::Gap);
    CHECK(held.replace(one, {1, configurationHash(one)}) == OfferDecision::Older);
    CHECK(held.replace(three, {3, configurationHash(one)}) == OfferDecision::Mismatch);
    ConfigurationDelta damaged = makeDelta(two, 2, three, 3);
    damaged.m_removedRoutes.push_back(two.m_routes[0].m_name);
    CHECK(held.apply(damaged) == OfferDecision::Mismatch);
    CHECK(held.version().m_version == 2);
    CHECK(held.version().m_hash == version.m_hash);
    CHECK(canonicalText(held.configuration()) == canonicalText(two));

    CHECK(held.apply(makeDelta(two, 2, three, 3)) == OfferDecision::Adopt);
    CHECK(held.replace(one, {9, configurationHash(one)}) == OfferDecision::Adopt);
    CHECK(held.version().m_version == 9);
    CHECK(held.compare({9, configurationHash(one)}) == OfferDecision::Known);
    CHECK(held.compare({9, configurationHash(two)}) == OfferDecision::Mismatch);
    CHECK(held.compare({8, configurationHash(one)}) == OfferDecision::Older);
    CHECK(held.compare({10, configurationHash(one)}) == OfferDecision::Gap);
}

// Guards against malformed deltas that are applied partially.
TEST_CASE("A malformed delta is rejected with all findings")
{
    const boost::json::value value = boost::json::parse(
            R"({"fromVersion": -1, "toVersion": 2, "hash": "12", "put": {"rout": []}, "removed": 1})");
    try {
        parseDelta(value, {"peer", ""});
        FAIL("the delta was accepted");
    } catch (const FindingsError &error) {
        CHECK(error.findings().size() == 4);
    }
}

// Guards against a conflict report that does not name the changed objects and fields.
TEST_CASE("The difference names objects and fields with old and new values")
{
    const Configuration from = smallConfiguration();
    Configuration to = from;
    to.m_routes[0].m_extraAttempts = 4;
    to.m_keys.pop_back();
    to.m_services.push_back({"bundler", {}});
    const std::vector<ObjectDifference> differences = diff(from, to);
    REQUIRE(differences.size() == 3);
    CHECK(differences[0].m_kind == ObjectKind::Service);
    CHECK(differences[0].m_change == ObjectChange::Added);
    CHECK(differences[1].m_name == "slips");
    CHECK(differences[1].m_change == ObjectChange::Changed);
    REQUIRE(differences[1].m_fields.size() == 1);
    CHECK(differences[1].m_fields[0].m_field == "extraAttempts");
    CHECK(differences[1].m_fields[0].m_old == 2);
    CHECK(differences[1].m_fields[0].m_new == 4);
    CHECK(differences[2].m_name == "bole-1");
    CHECK(differences[2].m_change == ObjectChange::Removed);
    CHECK(diff(from, canonical(from)).empty());
}
