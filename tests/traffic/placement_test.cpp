#include "traffic/placement/placement.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace chervilmount;
using namespace chervilmount::traffic;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};

class Targets
{
public:
    Target &add(const std::string &node, routing::Place place, int running, double holdSeconds)
    {
        Target &target = m_targets.emplace_back();
        target.m_node = node;
        target.m_place = place;
        target.m_load = {20, running, 0, holdSeconds};
        m_pointers.push_back(&target);
        return target;
    }

    std::string choose(const std::vector<std::string> &tried = {}, bool goesFirst = false) const
    {
        const std::optional<Placement> placement =
                choosePlacement(m_pointers, {tried, goesFirst}, PlacementSettings{}, Start);
        return placement ? m_pointers[placement->m_index]->m_node : "";
    }

private:
    std::deque<Target> m_targets;
    std::vector<const Target *> m_pointers;
};

} // namespace

// Guards against bytes between failure domains and regions that gain nothing.
TEST_CASE("Equal targets are taken from the own failure domain, then the own region")
{
    Targets targets;
    targets.add("far", routing::Place::OtherRegion, 5, 0.05);
    targets.add("near", routing::Place::SameRegion, 5, 0.05);
    targets.add("here", routing::Place::SameFailureDomain, 5, 0.05);
    CHECK(targets.choose() == "here");
    CHECK(targets.choose({"here"}) == "near");
    CHECK(targets.choose({"here", "near"}) == "far");
    CHECK(targets.choose({"here", "near", "far"}).empty());
}

// Guards against a queue before one backend server while another one has room.
TEST_CASE("A full target is left for one with room, also in another region")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 60, 0.1);
    targets.add("far", routing::Place::OtherRegion, 2, 0.1);
    CHECK(targets.choose() == "far");
}

// Guards against a slow backend server that gets as much as a fast one.
TEST_CASE("A slow backend server is left before it is full")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 12, 0.6);
    targets.add("near", routing::Place::SameRegion, 12, 0.06);
    CHECK(targets.choose() == "near");
}

// Guards against calls that all go to one target until its next report.
TEST_CASE("Calls sent since the last report count as load")
{
    Targets targets;
    Target &here = targets.add("here", routing::Place::SameFailureDomain, 10, 0.1);
    targets.add("near", routing::Place::SameRegion, 10, 0.1);
    CHECK(targets.choose() == "here");
    here.m_sentSinceReport = 40;
    CHECK(targets.choose() == "near");
}

// Guards against a backend server that has joined and gets no request until the others are full.
TEST_CASE("A backend server that has not answered yet is tried at once")
{
    Targets targets;
    targets.add("here", routing::Place::SameFailureDomain, 8, 0.05);
    targets.add("new", routing::Place::SameFailureDomain, 0, 0.0);
    targets.add("near", routing::Place::SameRegion, 0, 0.0);
    CHECK(targets.choose({"near"}) == "here");
    targets.add("full", routing::Place::SameFailureDomain, 19, 0.05);
    CHECK(targets.choose({"here", "near"}) == "new");
}

// Guards against orders that miss their timeout at a slow backend server although they would be
// first in the queue of a fast one.
TEST_CASE("A call that goes first in the queue takes the fast backend server although it is busy")
{
    Targets targets;
    targets.add("fast", routing::Place::SameFailureDomain, 40, 0.02);
    targets.add("slow", routing::Place::SameFailureDomain, 10, 0.035);
    CHECK(targets.choose() == "slow");
    CHECK(targets.choose({}, true) == "fast");
}

// Guards against a hop over another node that gains nothing.
TEST_CASE("Equal targets are taken on the own machine")
{
    Targets targets;
    targets.add("other", routing::Place::SameFailureDomain, 5, 0.05);
    targets.add("", routing::Place::SameFailureDomain, 5, 0.05);
    CHECK(targets.choose().empty());
}

// Guards against a backend server that refuses fast and so attracts all calls.
TEST_CASE("An ejected target is used only if there is no other")
{
    Targets targets;
    Target &here = targets.add("here", routing::Place::SameFailureDomain, 0, 0.01);
    targets.add("near", routing::Place::SameRegion, 15, 0.1);
    here.m_outlier.m_ejectedUntil = Start + 1s;
    CHECK(targets.choose() == "near");
    CHECK(targets.choose({"near"}) == "here");
}
