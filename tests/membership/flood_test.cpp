#include "membership/flood/floodstream.h"

#include <catch2/catch.hpp>
#include <random>

using namespace chervilmount::membership;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{1h};

std::vector<std::uint64_t> sequences(const std::vector<LogItem> &items)
{
    std::vector<std::uint64_t> result;
    for (const LogItem &item : items)
        result.push_back(item.m_sequence);
    return result;
}

} // namespace

TEST_CASE("An item of a latest stream is accepted once, and never an older one")
{
    LatestStream stream;
    CHECK(acceptLatest(stream, {1, 5}));
    CHECK_FALSE(acceptLatest(stream, {1, 5}));
    CHECK_FALSE(acceptLatest(stream, {1, 4}));
    CHECK(acceptLatest(stream, {2, 1}));
    CHECK_FALSE(acceptLatest(stream, {1, 6}));
}

TEST_CASE("A log item is fetched from one source and delivered once")
{
    LogStream stream;
    const LogEffects first = receiveOffer(stream, 7, {1}, Start);
    REQUIRE(first.m_requests.size() == 1);
    CHECK(first.m_requests[0].m_to == 7);
    CHECK(receiveOffer(stream, 8, {1}, Start).m_requests.empty());

    const LogEffects received = receiveItem(stream, 7, {1, "a"});
    CHECK(sequences(received.m_deliver) == std::vector<std::uint64_t>{1});
    REQUIRE(received.m_offer);
    CHECK(received.m_offer->m_newest == 1);
    CHECK(received.m_exceptTo == 7);
    CHECK(receiveItem(stream, 8, {1, "a"}).m_deliver.empty());
    CHECK_FALSE(receiveItem(stream, 8, {1, "a"}).m_offer);
}

TEST_CASE("Log items are delivered in order although they arrive out of order")
{
    LogStream stream;
    CHECK(receiveOffer(stream, 7, {3}, Start).m_requests.size() == 3);
    CHECK(receiveItem(stream, 7, {3, "c"}).m_deliver.empty());
    CHECK(receiveItem(stream, 7, {2, "b"}).m_deliver.empty());
    CHECK(sequences(receiveItem(stream, 7, {1, "a"}).m_deliver)
          == std::vector<std::uint64_t>{1, 2, 3});
}

TEST_CASE("A request that is not answered goes to another source and then to the store")
{
    LogStream stream;
    receiveOffer(stream, 7, {1}, Start);
    receiveOffer(stream, 8, {1}, Start);
    CHECK(retryRequests(stream, Start + 100ms).m_requests.empty());
    const LogEffects retry = retryRequests(stream, Start + 200ms);
    REQUIRE(retry.m_requests.size() == 1);
    CHECK(retry.m_requests[0].m_to == 8);
    retryRequests(stream, Start + 400ms);
    retryRequests(stream, Start + 600ms);
    const LogEffects store = retryRequests(stream, Start + 800ms);
    REQUIRE(store.m_fetchFromStore);
    CHECK(store.m_fetchFromStore->first == 1);
}

TEST_CASE("A gap longer than the neighbours keep is filled from the store")
{
    LogStream stream;
    const LogEffects effects = receiveOffer(stream, 7, {LogRetention + 1}, Start);
    CHECK(effects.m_requests.empty());
    CHECK(effects.m_fetchFromStore);
    CHECK(skipLog(stream, LogRetention + 1).m_offer);
    CHECK(receiveOffer(stream, 7, {LogRetention + 1}, Start).m_requests.empty());
}

TEST_CASE("Only the retained log items are answered")
{
    LogStream stream;
    for (std::uint64_t sequence = 1; sequence <= 100; ++sequence)
        addToLog(stream, {sequence, "x"});
    CHECK(stream.m_bodies.size() == LogRetention);
    CHECK_FALSE(answerRequest(stream, {36}));
    CHECK(answerRequest(stream, {37}));
    CHECK(answerRequest(stream, {100}));
}

TEST_CASE("A log reaches every node of a lossy graph, each item once and in order")
{
    constexpr std::size_t Nodes = 30;
    constexpr std::uint64_t Items = 20;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<LogStream> streams(Nodes);
        std::vector<std::uint64_t> delivered(Nodes, 0);
        std::chrono::steady_clock::time_point now = Start;
        const auto apply = [&](std::size_t node, const LogEffects &effects,
                               const auto &self) -> void {
            for (const LogItem &item : effects.m_deliver)
                REQUIRE(item.m_sequence == ++delivered[node]);
            for (const LogEffects::Request &request : effects.m_requests) {
                const auto answer = answerRequest(streams[request.m_to - 1], request.m_request);
                if (answer && uniform(random) > 0.3)
                    self(node, receiveItem(streams[node], request.m_to, *answer), self);
            }
        };
        for (std::uint64_t round = 1; round <= 200; ++round) {
            now += 100ms;
            if (round <= Items)
                apply(0, addToLog(streams[0], {round, "body"}), apply);
            for (std::size_t node = 0; node < Nodes; ++node) {
                const std::size_t other = (node + 1 + random() % 4) % Nodes;
                if (uniform(random) > 0.3) {
                    apply(other,
                          receiveOffer(streams[other], node + 1, {streams[node].m_delivered}, now),
                          apply);
                }
                apply(node, retryRequests(streams[node], now), apply);
            }
        }
        CHECK(delivered == std::vector<std::uint64_t>(Nodes, Items));
    }
}
