#include "platform/soak/versionwatch.h"

#include <catch2/catch.hpp>

namespace {

using Milliseconds = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint Start{std::chrono::hours{1}};

VersionWatch watchOfTwo()
{
    VersionWatch watch;
    watch.m_written = {{1, Start}, {4, Start + Milliseconds{5000}}};
    return watch;
}

VersionAnswer answerAt(Milliseconds time, std::uint64_t newest, bool isExact = false)
{
    return {Start + time, Start + time + Milliseconds{20}, newest, isExact};
}

} // namespace

// A soak whose check accepts stale answers would find nothing.
TEST_CASE("An answer by an old version is a finding once the bound has passed")
{
    VersionWatch watch = watchOfTwo();
    WatchedNode node;
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{6900}, 1)));
    CHECK(judge(watch, node, answerAt(Milliseconds{7001}, 1)));
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{7001}, 4)));
}

TEST_CASE("A disturbed node is excused until the contact bound has passed")
{
    VersionWatch watch = watchOfTwo();
    WatchedNode node;
    node.m_disturbedUntil = Start + Milliseconds{6000};
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{8900}, 1)));
    CHECK(judge(watch, node, answerAt(Milliseconds{9100}, 1)));
    CHECK(watch.m_excused == 1);
    CHECK(watch.m_judged == 1);
}

TEST_CASE("A store that serves some nodes only stretches the bound")
{
    VersionWatch watch = watchOfTwo();
    watch.m_storePartialUntil = Start + Milliseconds{20000};
    WatchedNode node;
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{11900}, 1)));
    CHECK(judge(watch, node, answerAt(Milliseconds{12100}, 1)));
}

TEST_CASE("A node that shows an older version than before is a finding")
{
    VersionWatch watch = watchOfTwo();
    WatchedNode node;
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{5100}, 4, true)));
    CHECK_FALSE(judge(watch, node, answerAt(Milliseconds{5300}, 1)));
    CHECK(judge(watch, node, answerAt(Milliseconds{5400}, 1)));
}
