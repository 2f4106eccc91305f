#include "model/model.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>

using namespace chervilmount::model;

namespace {

constexpr int Rounds = 9;
constexpr int LookUps = 20000;

/** Prints minimum, median and maximum over the rounds, in nanoseconds for each look-up. */
template<typename LookUp>
void measure(const std::string &name, std::size_t size, LookUp lookUp)
{
    std::array<double, Rounds> times{};
    for (double &time : times) {
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        int found = 0;
        for (int count = 0; count < LookUps; ++count)
            found += lookUp(static_cast<std::size_t>(count) * 7919 % size) ? 1 : 0;
        const std::chrono::duration<double, std::nano> elapsed =
                std::chrono::steady_clock::now() - start;
        time = elapsed.count() / LookUps;
        REQUIRE(found == LookUps);
    }
    std::sort(times.begin(), times.end());
    std::cout << name << " " << size << ": min " << times.front() << " median " << times[Rounds / 2]
              << " max " << times.back() << " ns\n";
}

} // namespace

// Prints the cost of look-ups for configurations of different size; run with model_tests
// "[measure]".
TEST_CASE("Cost of look-ups by size", "[.][measure]")
{
    const KeyDigester digester(std::string(32, 'k'));
    for (const std::size_t size : {100U, 1000U, 10000U, 100000U}) {
        std::vector<Route> routes(size);
        std::vector<Key> keys(size);
        std::vector<Digest> digests;
        for (std::size_t index = 0; index < size; ++index) {
            routes[index].m_name = "r" + std::to_string(index);
            routes[index].m_methods = {"GET"};
            routes[index].m_pathPrefix = "/service/v1/part" + std::to_string(index);
            digests.push_back(digester.digest(routes[index].m_name));
            keys[index].m_digest = toHex(digests.back());
        }
        const RouteTable routeTable(routes);
        const KeyTable keyTable(keys);
        std::vector<std::string> paths;
        for (const Route &route : routes)
            paths.push_back(route.m_pathPrefix + "/item/1");
        std::vector<std::string> dottedPaths;
        for (const Route &route : routes)
            dottedPaths.push_back(route.m_pathPrefix + "/item%201.pdf");
        measure("routes", size, [&](std::size_t index) {
            return routeTable.find("any.example", "GET", paths[index]) != nullptr;
        });
        measure("routes with dots", size, [&](std::size_t index) {
            return routeTable.find("any.example", "GET", dottedPaths[index]) != nullptr;
        });
        measure("keys", size,
                [&](std::size_t index) { return keyTable.find(digests[index]) != nullptr; });
    }
    measure("digests", 1, [&](std::size_t) {
        return digester.digest("lion-brewery-example-key-with-usual-length-of-64-characters").size()
                == 32;
    });
    Configuration set;
    for (int index = 0; index < 5000; ++index) {
        Route &route = set.m_routes.emplace_back();
        route.m_name = "r" + std::to_string(index);
        route.m_pathPrefix = "/" + route.m_name;
    }
    VersionedConfiguration held(set, 1);
    Configuration next = held.configuration();
    next.m_routes[17].m_timeout = std::chrono::milliseconds(5);
    const ConfigurationDelta delta = makeDelta(set, 1, next, 2);
    std::array<double, Rounds> times{};
    for (double &time : times) {
        VersionedConfiguration copy = held;
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        REQUIRE(copy.apply(delta) == OfferDecision::Adopt);
        time = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
                       .count();
    }
    std::sort(times.begin(), times.end());
    std::cout << "apply a delta of one object to 5000: min " << times.front() << " median "
              << times[Rounds / 2] << " max " << times.back() << " us\n";
}
