#include "fuzz/require.h"
#include "model/model.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

using namespace chervilmount::model;
using chervilmount::fuzz::require;

namespace {

/** A set that was read must survive serialisation, hashing and deltas. */
void checkRoundTrips(const Configuration &set)
{
    const std::string text = canonicalText(set);
    const Configuration again = parseConfiguration({{"again", text}});
    require(canonicalText(again) == text);
    require(configurationHash(again) == configurationHash(set));
    require(diff(set, again).empty());
}

/** A set that passed the check must be reachable by a delta and be found in the index. */
void checkAccepted(const Configuration &set)
{
    VersionedConfiguration held;
    require(held.apply(makeDelta({}, 0, set, 1)) == OfferDecision::Adopt);
    require(canonicalText(held.configuration()) == canonicalText(set));
    const ConfigurationIndex index(held);
    for (const Route &route : set.m_routes) {
        const std::string method = route.m_methods.empty() ? "X" : route.m_methods.front();
        const Route *found = index.routes().find(route.m_host, method, route.m_pathPrefix);
        require(found != nullptr);
        require(found->m_name == route.m_name || route.m_methods.empty());
    }
    for (const Key &key : set.m_keys)
        require(index.keys().find(*digestFromHex(key.m_digest))->m_name == key.m_name);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    Findings findings;
    const LocatedConfiguration set = readConfiguration({{"input", text}}, findings);
    const CheckResult result = checkConfiguration(set);
    if (findings.empty())
        checkRoundTrips(set.m_configuration);
    if (findings.empty() && result.m_findings.empty())
        checkAccepted(set.m_configuration);
    const std::optional<boost::json::value> document = parseDocument({"input", text}, findings);
    try {
        if (document)
            parseDelta(*document, {"input", ""});
    } catch (const FindingsError &) {
        // Findings are the expected result for most inputs.
    }
    const RouteTable table(set.m_configuration.m_routes);
    table.find(text, "GET", text);
    return 0;
}
