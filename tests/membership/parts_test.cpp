#include "membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace chervilmount::membership;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{1h};

MemberRecord recordOf(const std::string &domain, int node, MemberState state = MemberState::Serving)
{
    MemberRecord record;
    record.m_id = {domain, domain + std::to_string(node) + ":1"};
    record.m_incarnation = 10;
    record.m_version = 1;
    record.m_state = state;
    return record;
}

} // namespace

TEST_CASE("The newer record wins by incarnation, then version, then state order")
{
    MemberRecord older = recordOf("a", 1);
    MemberRecord newer = older;
    CHECK_FALSE(supersedes(newer, older));
    newer.m_state = MemberState::Failed;
    CHECK(supersedes(newer, older));
    older.m_version = 2;
    CHECK(supersedes(older, newer));
    newer.m_incarnation = 11;
    newer.m_version = 1;
    CHECK(supersedes(newer, older));
}

TEST_CASE("Digests depend on the present members only, not on the order or on ended records")
{
    MemberTable first;
    MemberTable second;
    for (int node = 0; node < 50; ++node)
        first.put(recordOf("a", node), Start);
    for (int node = 49; node >= 0; --node)
        second.put(recordOf("a", node, MemberState::Joining), Start);
    CHECK(first.digest() != second.digest());
    for (int node = 0; node < 50; ++node)
        second.put(recordOf("a", node), Start);
    second.put(recordOf("a", 99, MemberState::Left), Start);
    CHECK(first.digest() == second.digest());
    CHECK(first.domain("a") == second.domain("a"));
    CHECK(first.bucketDigests("a") == second.bucketDigests("a"));
    CHECK(second.expire(Start + 599s, 600s) == 0);
    CHECK(second.expire(Start + 600s, 600s) == 1);
    CHECK(second.size() == 50);
}

TEST_CASE("Every page of a table holds different records, and all pages hold them all")
{
    MemberTable table;
    for (int node = 0; node < 500; ++node)
        table.put(recordOf("a", node), Start);
    std::set<NodeKey> keys;
    for (std::size_t page = 0; page < 3; ++page) {
        for (const MemberRecord &record : table.page(page, 3, Start))
            CHECK(keys.insert(keyOf(record.m_id)).second);
    }
    CHECK(keys.size() == 500);
}

TEST_CASE("Neighbours on the rings are mutual, at most 8, and stay connected")
{
    for (const int size : {2, 9, 10, 100, 1000}) {
        RingSet rings;
        std::vector<NodeKey> keys;
        for (int node = 0; node < size; ++node) {
            keys.push_back(keyOf(recordOf("a", node).m_id));
            CHECK(rings.insert(keys.back()));
        }
        std::set<NodeKey> reached{keys[0]};
        std::vector<NodeKey> open{keys[0]};
        while (!open.empty()) {
            const NodeKey key = open.back();
            open.pop_back();
            const std::vector<NodeKey> neighbours = rings.neighboursOf(key);
            CHECK(neighbours.size() <= MaximumNeighbours);
            for (const NodeKey neighbour : neighbours) {
                const std::vector<NodeKey> back = rings.neighboursOf(neighbour);
                CHECK(std::binary_search(back.begin(), back.end(), key));
                if (reached.insert(neighbour).second)
                    open.push_back(neighbour);
            }
        }
        CHECK(reached.size() == keys.size());
    }
}

TEST_CASE("Both ends of a link between bridges agree on it")
{
    MemberTable table;
    BridgeSet bridges;
    for (const std::string domain : {"a", "b", "c"}) {
        for (int node = 0; node < (domain == "c" ? 2 : 10); ++node)
            bridges.insert(domain, table.put(recordOf(domain, node), Start));
    }
    for (std::size_t links = 1; links <= BridgesPerDomain; ++links) {
        for (const std::string domain : {"a", "b", "c"}) {
            for (const NodeKey key : bridges.bridgesOf(domain)) {
                for (const NodeKey other : bridges.remoteLinks(domain, key, links)) {
                    const std::string otherDomain = table.findId(other)->m_failureDomain;
                    const auto back = bridges.remoteLinks(otherDomain, other, links);
                    CHECK(std::find(back.begin(), back.end(), key) != back.end());
                }
            }
        }
        CHECK(bridges.remoteLinks("a", bridges.bridgesOf("a")[0], links).size() == links + 2);
    }
}

TEST_CASE("A bridge that ends is replaced by the next member")
{
    MemberTable table;
    BridgeSet bridges;
    for (int node = 0; node < 5; ++node)
        bridges.insert("a", table.put(recordOf("a", node), Start));
    const std::vector<NodeKey> before = bridges.bridgesOf("a");
    CHECK(bridges.remove("a", before[0], table));
    const std::vector<NodeKey> after = bridges.bridgesOf("a");
    CHECK(after.size() == BridgesPerDomain);
    CHECK(after[0] == before[1]);
    CHECK_FALSE(bridges.isBridge("a", before[0]));
}

TEST_CASE("The transit bound is never below the true transit time, and ignores an earlier process")
{
    // The receiver's clock and the sender's clock differ by a day.
    const std::chrono::steady_clock::time_point receiver{24h};
    const std::chrono::steady_clock::time_point sender{1h};
    PeerClock atSender;
    recordPeerClock(atSender, stamp({}, 5, receiver), sender + 30ms);
    const LinkClock answer = stamp(atSender, 6, sender + 730ms);
    const auto bound = transitBound(answer, 5, receiver + 770ms);
    REQUIRE(bound);
    CHECK(*bound >= 40ms);
    CHECK(*bound <= 71ms);
    CHECK_FALSE(transitBound(answer, 7, receiver + 770ms));
    CHECK_FALSE(transitBound(stamp({}, 6, sender), 5, receiver));
}

TEST_CASE("A suspect is failed by 3 observers at once, by 2 after 8 s, and never by 1 of many")
{
    const MembershipSettings settings;
    const ObserverView view{8, 8, true};
    Suspicion suspicion;
    addReport(suspicion, 1, Start);
    CHECK_FALSE(isFailed(suspicion, view, settings, Start + 100s));
    addReport(suspicion, 2, Start + 1s);
    CHECK_FALSE(isFailed(suspicion, view, settings, Start + 8999ms));
    CHECK(isFailed(suspicion, view, settings, Start + 9s));
    addReport(suspicion, 3, Start + 2s);
    CHECK(isFailed(suspicion, view, settings, Start + 2s));
}

TEST_CASE("A node that hears nobody waits before it fails its neighbours")
{
    const MembershipSettings settings;
    Suspicion suspicion;
    addReport(suspicion, 1, Start);
    const ObserverView isolated{2, 1, false};
    CHECK_FALSE(isFailed(suspicion, isolated, settings, Start));
    CHECK_FALSE(isFailed(suspicion, isolated, settings, Start + 29s));
    CHECK(isFailed(suspicion, isolated, settings, Start + 30s));
}
