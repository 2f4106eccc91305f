#include "relay/runtime/decisionsettings.h"

#include "model/findings/findingserror.h"
#include "model/json/document.h"
#include "model/json/objectreader.h"
#include "relay/http/socketoptions.h"

#include <limits>
#include <optional>
#include <stdexcept>
#include <string>

namespace chervilmount::relay {

namespace {

using model::NumberRange;
using model::ObjectReader;
using model::Presence;

constexpr NumberRange<double> Share{0.0, 1.0};
constexpr NumberRange<double> Factor{0.0, 100.0};
constexpr NumberRange<std::int64_t> Milliseconds{0, 60000};

void readShare(ObjectReader &reader, const char *name, double &target)
{
    reader.readNumber(name, target, Presence::Optional, Share);
}

void readFactor(ObjectReader &reader, const char *name, double &target)
{
    reader.readNumber(name, target, Presence::Optional, Factor);
}

void readSwitch(ObjectReader &reader, const char *name, bool &target)
{
    reader.readBoolean(name, target, Presence::Optional);
}

void readMilliseconds(ObjectReader &reader, const char *name, std::chrono::milliseconds &target)
{
    reader.readDuration(name, target, Presence::Optional, Milliseconds);
}

void readAdmission(ObjectReader &reader, traffic::TreeAdmissionSettings &settings)
{
    readSwitch(reader, "enabled", settings.m_enabled);
    readSwitch(reader, "correctsCosts", settings.m_correctsCosts);
    readSwitch(reader, "thinsEvenly", settings.m_thinsEvenly);
    readSwitch(reader, "countsOtherRegions", settings.m_countsOtherRegions);
    readShare(reader, "targetUtilisation", settings.m_target);
    readMilliseconds(reader, "raiseMilliseconds", settings.m_raiseTime);
    readMilliseconds(reader, "lowerMilliseconds", settings.m_lowerTime);
}

void readQueue(ObjectReader &reader, traffic::GateSettings &settings)
{
    readSwitch(reader, "ordersByImportance", settings.m_ordersByImportance);
    readShare(reader, "usableShare", settings.m_usableShare);
    readFactor(reader, "callerWaitShare", settings.m_callerWaitShare);
    readFactor(reader, "nestedWaitShare", settings.m_nestedWaitShare);
}

void readPlacement(ObjectReader &reader, traffic::PlacementSettings &settings)
{
    readSwitch(reader, "usesRelativeHold", settings.m_usesRelativeHold);
    readShare(reader, "explorationShare", settings.m_explorationShare);
    reader.readInteger("candidatesPerPlace", settings.m_candidatesPerPlace, Presence::Optional,
                       NumberRange<std::size_t>{1, 1000000});
    bool ejects = true;
    readSwitch(reader, "ejectsOutliers", ejects);
    if (!ejects)
        settings.m_outlier.m_failuresInRow = settings.m_outlier.m_timeoutsInRow =
                std::numeric_limits<int>::max();
}

void readRepeats(ObjectReader &reader, traffic::RepeatBudgetSettings &settings)
{
    readShare(reader, "ratio", settings.m_ratio);
    readFactor(reader, "initial", settings.m_initial);
    readShare(reader, "keptForImportant", settings.m_keptForImportant);
}

void readSecondAttempts(ObjectReader &reader, traffic::SecondAttemptSettings &settings)
{
    readSwitch(reader, "enabled", settings.m_enabled);
    readFactor(reader, "slowHold", settings.m_slowHold);
    readFactor(reader, "slowAge", settings.m_slowAge);
}

void readRetryAfter(ObjectReader &reader, traffic::RetryAfterSettings &settings)
{
    readFactor(reader, "minimumShare", settings.m_minimumShare);
    readFactor(reader, "maximumShare", settings.m_maximumShare);
    if (settings.m_minimumShare > settings.m_maximumShare)
        reader.report("minimumShare", "larger than maximumShare", "use a smaller number");
}

void readRates(ObjectReader &reader, traffic::RateShareSettings &settings)
{
    readSwitch(reader, "transfersTokens", settings.m_transfersTokens);
    readMilliseconds(reader, "longestWaitMilliseconds", settings.m_longestWait);
}

void readCallers(ObjectReader &reader, RelaySettings &settings)
{
    reader.readInteger("requestsAtOnce", settings.m_requestsAtOnce, Presence::Optional,
                       NumberRange<std::size_t>{1, 1000});
    readMilliseconds(reader, "startWaitMilliseconds", settings.m_startWait.m_longest);
}

void readLinks(ObjectReader &reader, RelaySettings &settings)
{
    std::string &address = settings.m_peerListenAddress;
    reader.readString("listenAddress", address, Presence::Optional);
    if (address.empty())
        return;
    try {
        parseEndpoint(address);
    } catch (const std::invalid_argument &error) {
        reader.report("listenAddress", error.what(), "use ip:port");
    }
}

} // namespace

void parseDecisionSettings(const std::string &text, const std::string &source,
                           RelaySettings &settings)
{
    model::Findings findings;
    const std::optional<boost::json::value> document =
            model::parseDocument({source, text}, findings);
    if (document) {
        ObjectReader reader(*document, {source, ""}, findings);
        const auto read = [&reader](const char *name, auto function, auto &target) {
            reader.readObject(
                    name, [&](ObjectReader &object) { function(object, target); },
                    Presence::Optional);
        };
        read("admission", readAdmission, settings.m_treeAdmission);
        read("queue", readQueue, settings.m_gate);
        read("placement", readPlacement, settings.m_placement);
        read("repeats", readRepeats, settings.m_repeats);
        read("secondAttempts", readSecondAttempts, settings.m_secondAttempts);
        read("resends", readRepeats, settings.m_resends);
        read("retryAfter", readRetryAfter, settings.m_retryAfter);
        read("rates", readRates, settings.m_rates);
        read("callers", readCallers, settings);
        read("links", readLinks, settings);
        reader.finish();
    }
    if (!findings.empty())
        throw model::FindingsError(findings);
}

} // namespace chervilmount::relay
