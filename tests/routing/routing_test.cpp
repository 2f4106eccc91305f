#include "routing/routing.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace chervilmount;
using namespace chervilmount::routing;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point Start{std::chrono::hours{1}};
const std::chrono::steady_clock::time_point Warm = Start + 1min;

Member memberOf(const std::string &name, Place place)
{
    return {name, place, 10, false};
}

ServiceCandidates candidatesOf(const std::vector<Member> &members)
{
    ServiceCandidates candidates;
    replaceCandidates(candidates, members, Start);
    return candidates;
}

Choice chooseOnce(const ServiceCandidates &candidates, const ChoiceRequest &request,
                  const LinkBudget &link, std::mt19937_64 &random)
{
    return choose(candidates, request, link, RoutingSettings{}, Warm, random);
}

void reportThreshold(ServiceCandidates &candidates, std::uint32_t index, overload::Rank rank)
{
    CallReport report;
    report.m_hasReport = true;
    report.m_threshold = rank;
    recordCallEnd(candidates, index, report, RoutingSettings{}, Warm);
}

} // namespace

// Guards against needless traffic between failure domains and over the paid link.
TEST_CASE("The failure domain comes first, then the region, then the paid link")
{
    std::mt19937_64 random(1);
    ServiceCandidates candidates =
            candidatesOf({memberOf("a", Place::SameFailureDomain), memberOf("b", Place::SameRegion),
                          memberOf("c", Place::OtherRegion)});
    LinkBudget link = makeLinkBudget(1000.0, 1, Warm);
    ChoiceRequest request{1000, 0, true, 800.0, {}};
    CHECK(*chooseOnce(candidates, request, link, random).m_candidate == 0);
    reportThreshold(candidates, 0, 500);
    CHECK(chooseOnce(candidates, request, link, random).m_reason == overload::Reason::SameRegion);
    reportThreshold(candidates, 1, 500);
    CHECK(chooseOnce(candidates, request, link, random).m_reason == overload::Reason::OtherRegion);
    // Without the paid link the nearest place is selected although it sheds load.
    request.m_crossRegion = false;
    CHECK(*chooseOnce(candidates, request, link, random).m_candidate == 0);
    request.m_crossRegion = true;
    recordCallStart(candidates, 2, 800.0, link, Warm);
    CHECK(*chooseOnce(candidates, request, link, random).m_candidate == 0);
    candidates.m_candidates[0].m_member.m_excluded = true;
    candidates.m_candidates[1].m_member.m_excluded = true;
    CHECK(chooseOnce(candidates, request, link, random).m_reason
          == overload::Reason::LinkBudgetSpent);
}

// Guards against exceeding the node's share of the paid link.
TEST_CASE("The link budget refills at its rate and settles what was estimated too low")
{
    LinkBudget link = makeLinkBudget(1000.0, 2, Start);
    CHECK(coversBytes(link, 500.0, Start));
    takeBytes(link, 500.0, Start);
    settleBytes(link, 500.0, 1000.0);
    CHECK_FALSE(coversBytes(link, 1.0, Start + 1s));
    CHECK(coversBytes(link, 250.0, Start + 1500ms));
}

// Guards against ignoring the load of backend servers.
TEST_CASE("The less loaded of two candidates is chosen, and old load counts less")
{
    std::mt19937_64 random(1);
    ServiceCandidates candidates =
            candidatesOf({memberOf("a", Place::SameRegion), memberOf("b", Place::SameRegion)});
    candidates.m_candidates[0].m_inFlight = 1;
    candidates.m_candidates[1].m_load = 5.0;
    candidates.m_candidates[1].m_loadAt = Warm;
    const LinkBudget link;
    CHECK(*chooseOnce(candidates, {}, link, random).m_candidate == 0);
    candidates.m_candidates[1].m_loadAt = Warm - 2s;
    CHECK(*chooseOnce(candidates, {}, link, random).m_candidate == 1);
}

// Guards against sending a cold backend server its full share.
TEST_CASE("A backend server that has just appeared is drawn with a tenth of the weight")
{
    std::mt19937_64 random(1);
    ServiceCandidates candidates =
            candidatesOf({memberOf("a", Place::SameRegion), memberOf("b", Place::SameRegion),
                          memberOf("c", Place::SameRegion), memberOf("d", Place::SameRegion)});
    candidates.m_candidates[0].m_appearedAt = Warm;
    const RoutingSettings settings;
    CHECK(drawWeight(candidates.m_candidates[0], settings, Warm) == Approx(0.1));
    CHECK(drawWeight(candidates.m_candidates[0], settings, Warm + 5s) == Approx(0.55));
    CHECK(drawWeight(candidates.m_candidates[0], settings, Warm + 10s) == Approx(1.0));
    std::map<std::uint32_t, int> chosen;
    for (int call = 0; call < 10000; ++call)
        ++chosen[*chooseOnce(candidates, {}, LinkBudget{}, random).m_candidate];
    CHECK(chosen[0] < 1000);
    CHECK(chosen[0] > 100);
}

// Guards against ejecting so many backend servers that the rest is overloaded.
TEST_CASE("Outliers are ejected for a doubling time, but never more than half")
{
    ServiceCandidates candidates =
            candidatesOf({memberOf("a", Place::SameRegion), memberOf("b", Place::SameRegion),
                          memberOf("c", Place::SameRegion), memberOf("d", Place::SameRegion)});
    const RoutingSettings settings;
    CallReport failure;
    failure.m_result = AttemptResult::Failure;
    for (std::uint32_t index = 0; index < 4; ++index) {
        for (int call = 0; call < 5; ++call)
            recordCallEnd(candidates, index, failure, settings, Warm);
    }
    CHECK(isEjected(candidates.m_candidates[0].m_outlier, Warm + 999ms));
    CHECK_FALSE(isEjected(candidates.m_candidates[0].m_outlier, Warm + 1s));
    CHECK(isEjected(candidates.m_candidates[1].m_outlier, Warm));
    CHECK_FALSE(isEjected(candidates.m_candidates[2].m_outlier, Warm));
    CHECK_FALSE(isEjected(candidates.m_candidates[3].m_outlier, Warm));
    recordCallEnd(candidates, 0, failure, settings, Warm + 1s);
    CHECK(isEjected(candidates.m_candidates[0].m_outlier, Warm + 2900ms));
    CallReport refusal;
    for (int call = 0; call < 100; ++call)
        recordCallEnd(candidates, 3, refusal, settings, Warm + 5s);
    CHECK_FALSE(isEjected(candidates.m_candidates[3].m_outlier, Warm + 5s));
}

// Guards against new work for a leaving backend server.
TEST_CASE("A leaving backend server is not chosen again")
{
    std::mt19937_64 random(1);
    ServiceCandidates candidates =
            candidatesOf({memberOf("a", Place::SameRegion), memberOf("b", Place::SameRegion)});
    CallReport report;
    report.m_leaving = true;
    recordCallEnd(candidates, 0, report, RoutingSettings{}, Warm);
    for (int call = 0; call < 100; ++call)
        CHECK(*chooseOnce(candidates, {}, LinkBudget{}, random).m_candidate == 1);
}

// Guards against subsets that are the same for all callers, that change with every change of the
// member table, or that grow with it.
TEST_CASE("The subset is bounded, differs between callers and moves little")
{
    std::vector<Member> members;
    for (int number = 0; number < 300; ++number)
        members.push_back(
                memberOf("node-" + std::to_string(number), static_cast<Place>(number % Places)));
    const std::vector<Member> first = chooseSubset(members, "caller-1", 16);
    CHECK(first.size() == 16);
    CHECK(std::count_if(
                  first.begin(), first.end(),
                  [](const Member &member) { return member.m_place == Place::SameFailureDomain; })
          == 8);
    std::set<std::string> names;
    for (const Member &member : first)
        names.insert(member.m_nodeId);
    CHECK(names.size() == 16);
    int shared = 0;
    for (const Member &member : chooseSubset(members, "caller-2", 16))
        shared += names.contains(member.m_nodeId) ? 1 : 0;
    CHECK(shared < 8);
    std::vector<Member> fewer = members;
    std::erase_if(fewer,
                  [&first](const Member &member) { return member.m_nodeId == first[0].m_nodeId; });
    int kept = 0;
    for (const Member &member : chooseSubset(fewer, "caller-1", 16))
        kept += names.contains(member.m_nodeId) ? 1 : 0;
    CHECK(kept == 15);
}

// Guards against routing requests to the wrong service.
TEST_CASE("The longest prefix at a segment boundary matches, by method and host")
{
    model::Route all;
    all.m_name = "all";
    all.m_pathPrefix = "/";
    model::Route slips;
    slips.m_name = "slips";
    slips.m_pathPrefix = "/slips";
    slips.m_methods = {"GET"};
    model::Route hosted = slips;
    hosted.m_name = "hosted";
    hosted.m_host = "Print.example";
    const RouteTable table = makeRouteTable({all, slips, hosted});
    const auto nameOf = [&table](std::string_view host, std::string_view method,
                                 std::string_view path) {
        const std::optional<std::uint32_t> found = matchRoute(table, host, method, path);
        return found ? table.m_routes[*found].m_name : std::string("none");
    };
    CHECK(nameOf("x", "GET", "/slips/7") == "slips");
    CHECK(nameOf("print.EXAMPLE", "GET", "/slips") == "hosted");
    CHECK(nameOf("x", "POST", "/slips") == "all");
    CHECK(nameOf("x", "GET", "/slipsheet") == "all");
    CHECK_FALSE(matchRoute(makeRouteTable({slips}), "x", "GET", "/other").has_value());
}
