#include "fuzz/require.h"
#include "model/model.h"

#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

using namespace chervilmount::model;
using chervilmount::fuzz::require;

namespace {

/** A delta that was read must be the same after it is written and read again. */
void checkRoundTrip(const ConfigurationDelta &delta)
{
    const std::string text = boost::json::serialize(toJson(delta));
    const ConfigurationDelta again = parseDelta(boost::json::parse(text), {"again", ""});
    require(boost::json::serialize(toJson(again)) == text);
}

/** A delta is adopted only with the right base, a higher version and the right hash. */
void checkOffer(ConfigurationDelta delta)
{
    VersionedConfiguration held;
    const bool adopted = held.apply(delta) == OfferDecision::Adopt;
    require(!adopted || (delta.m_fromVersion == 0 && delta.m_toVersion > 0));
    require(!adopted || held.version().m_hash == delta.m_hash);

    // With the right hash and base the content decides nothing else.
    delta.m_fromVersion = 0;
    delta.m_toVersion = 1;
    const Configuration expected = apply(delta, {});
    delta.m_hash = configurationHash(expected);
    VersionedConfiguration empty;
    require(empty.apply(delta) == OfferDecision::Adopt);
    require(canonicalText(empty.configuration()) == canonicalText(expected));
    require(empty.apply(delta) == OfferDecision::Known);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    Findings findings;
    const std::optional<boost::json::value> document = parseDocument({"input", text}, findings);
    if (!document)
        return 0;
    std::optional<ConfigurationDelta> delta;
    try {
        delta = parseDelta(*document, {"input", ""});
    } catch (const FindingsError &) {
        // Findings are the expected result for most inputs.
        return 0;
    }
    checkRoundTrip(*delta);
    checkOffer(*delta);
    return 0;
}
