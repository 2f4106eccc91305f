#include "benchmarks/membership/fit.h"
#include "benchmarks/membership/traffic.h"

#include <catch2/catch.hpp>

using namespace chervilmount::measurements;
using std::chrono::seconds;

namespace {

constexpr std::size_t Sizes[] = {50, 100, 200, 400};

/** Freshness attestations per second, and their size with the overhead of ZeroMQ and TCP. */
constexpr double AttestationsPerSecond = 2;
constexpr double AttestationBytes = 60 + 62;
constexpr double Neighbours = 8;
/** One linked bridge in each of the nine other failure domains. */
constexpr double RemoteLinks = 9;

} // namespace

TEST_CASE("Bytes per node do not grow with the size of a failure domain and stay below the bound")
{
    std::vector<Point> mean;
    std::vector<Point> bridge;
    for (const std::size_t nodes : Sizes) {
        const Traffic traffic = measureTraffic({nodes}, TargetChangesPerSecond, seconds(20));
        mean.emplace_back(nodes, traffic.m_sentMean);
        bridge.emplace_back(nodes, traffic.m_sentBridge);
        const double attestationBytes = AttestationsPerSecond * AttestationBytes;
        CHECK(traffic.m_sentMean + attestationBytes * Neighbours <= BytesPerSecondBound);
        CHECK(traffic.m_sentBridge + attestationBytes * (Neighbours + RemoteLinks)
              <= BytesPerSecondBound);
        CHECK(traffic.m_receivedBridge + attestationBytes * (Neighbours + RemoteLinks)
              <= BytesPerSecondBound);
    }
    CHECK(fitExponent(mean) <= 0.1);
    CHECK(fitExponent(bridge) <= 0.1);
}

TEST_CASE("All links between the bridges of ten failure domains would exceed the bound")
{
    const Traffic traffic = measureTraffic({50, 10, 3}, TargetChangesPerSecond, seconds(20));
    const double targets = Neighbours + 3 * RemoteLinks;
    CHECK(traffic.m_sentBridge + AttestationsPerSecond * AttestationBytes * targets
          > BytesPerSecondBound);
}

TEST_CASE("The loss of a rack and a cut of minutes cost each node few bytes, and convergence is "
          "quick")
{
    // Expected per day: 44 failures, about one lost rack, 11,000 restarts.
    const EventCost crash = measureCrash({200}, 1);
    CHECK(crash.m_agreement > std::chrono::milliseconds(0));
    CHECK(crash.m_agreement <= seconds(8));
    const EventCost rack = measureCrash({200}, 40);
    CHECK(rack.m_agreement > std::chrono::milliseconds(0));
    CHECK(rack.m_agreement <= seconds(20));
    CHECK((44 * crash.m_extraBytes + rack.m_extraBytes) / 86400 <= 0.01 * BytesPerSecondBound);
    const EventCost cut = measureCut({200}, seconds(120));
    CHECK(cut.m_agreement <= seconds(5));
}
