#include "model/findings/findingserror.h"
#include "relay/runtime/decisionsettings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace chervilmount;
using namespace std::chrono_literals;

namespace {

/** @returns the pointers of all findings of a document. */
std::vector<std::string> pointersOf(const std::string &text)
{
    relay::RelaySettings settings;
    try {
        relay::parseDecisionSettings(text, "decisions.json", settings);
    } catch (const model::FindingsError &error) {
        std::vector<std::string> pointers;
        for (const model::Finding &finding : error.findings()) {
            CHECK(finding.m_source == "decisions.json");
            CHECK_FALSE(finding.m_remedy.empty());
            pointers.push_back(finding.m_pointer);
        }
        std::sort(pointers.begin(), pointers.end());
        return pointers;
    }
    return {};
}

} // namespace

// Guards against a switch that is accepted and changes nothing.
TEST_CASE("Each switch of the decisions reaches the settings")
{
    relay::RelaySettings settings;
    relay::parseDecisionSettings(R"({
        "admission": {"enabled": false, "correctsCosts": false, "thinsEvenly": false,
                      "countsOtherRegions": false, "targetUtilisation": 0.8},
        "queue": {"ordersByImportance": false, "nestedWaitShare": 1.5},
        "placement": {"usesRelativeHold": false, "ejectsOutliers": false, "explorationShare": 0,
                      "candidatesPerPlace": 7},
        "repeats": {"ratio": 0.1, "keptForImportant": 0},
        "resends": {"ratio": 0, "initial": 0},
        "retryAfter": {"minimumShare": 0.4, "maximumShare": 0.4},
        "rates": {"transfersTokens": false, "longestWaitMilliseconds": 60},
        "callers": {"requestsAtOnce": 1, "startWaitMilliseconds": 0}})",
                                 "decisions.json", settings);
    CHECK_FALSE(settings.m_treeAdmission.m_enabled);
    CHECK_FALSE(settings.m_treeAdmission.m_correctsCosts);
    CHECK_FALSE(settings.m_treeAdmission.m_thinsEvenly);
    CHECK_FALSE(settings.m_treeAdmission.m_countsOtherRegions);
    CHECK(settings.m_treeAdmission.m_target == 0.8);
    CHECK_FALSE(settings.m_gate.m_ordersByImportance);
    CHECK(settings.m_gate.m_nestedWaitShare == 1.5);
    CHECK_FALSE(settings.m_placement.m_usesRelativeHold);
    CHECK(settings.m_placement.m_outlier.m_failuresInRow > 1000000);
    CHECK(settings.m_placement.m_explorationShare == 0.0);
    CHECK(settings.m_placement.m_candidatesPerPlace == 7);
    CHECK(settings.m_repeats.m_ratio == 0.1);
    CHECK(settings.m_resends.m_initial == 0.0);
    CHECK(settings.m_retryAfter.m_minimumShare == 0.4);
    CHECK_FALSE(settings.m_rates.m_transfersTokens);
    CHECK(settings.m_rates.m_longestWait == 60ms);
    CHECK(settings.m_requestsAtOnce == 1);
    CHECK(settings.m_startWait.m_longest == 0ms);
}

// Guards against findings that are reported one at a time, and against unknown switches that are
// silently ignored.
TEST_CASE("All findings of the decision settings are reported with their places")
{
    CHECK(pointersOf(R"({"admission": {"enabled": "no", "sheds": true},
                         "placement": {"explorationShare": 2, "candidatesPerPlace": 0},
                         "retries": {}})")
          == std::vector<std::string>{"/admission/enabled", "/admission/sheds",
                                      "/placement/candidatesPerPlace",
                                      "/placement/explorationShare", "/retries"});
    CHECK(pointersOf(R"({"retryAfter": {"minimumShare": 0.5, "maximumShare": 0.2}})")
          == std::vector<std::string>{"/retryAfter/minimumShare"});
    CHECK(pointersOf("{") == std::vector<std::string>{""});
    CHECK(pointersOf("[]") == std::vector<std::string>{""});
    CHECK(pointersOf("{}").empty());
}
