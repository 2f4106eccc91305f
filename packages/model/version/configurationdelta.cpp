#include "model/version/configurationdelta.h"

#include "model/findings/findingserror.h"
#include "model/json/objectreader.h"
#include "model/parsing/configurationparser.h"
#include "model/parsing/objectfields.h"
#include "model/version/deltakinds.h"
#include "model/version/objecthashes.h"

#include <boost/json/array.hpp>

#include <optional>
#include <type_traits>
#include <utility>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

/** @returns the objects of the given type. */
template<typename Object>
const std::vector<Object> &objectsOf(const Configuration &configuration)
{
    const std::vector<Object> *result = nullptr;
    visitKinds(configuration, [&result](ObjectKind, const auto &objects) {
        if constexpr (std::is_same_v<decltype(objects), const std::vector<Object> &>)
            result = &objects;
    });
    return *result;
}

/** Compares two lists that are sorted by name. */
template<typename Object>
void compareSorted(const std::vector<Object> &from, const std::vector<Object> &to,
                   std::vector<Object> &put, std::vector<std::string> &removed)
{
    auto old = from.begin();
    for (const Object &object : to) {
        for (; old != from.end() && old->m_name < object.m_name; ++old)
            removed.push_back(old->m_name);
        const bool isKnown = old != from.end() && old->m_name == object.m_name;
        if (!isKnown || toJson(*old) != toJson(object))
            put.push_back(object);
        if (isKnown)
            ++old;
    }
    for (; old != from.end(); ++old)
        removed.push_back(old->m_name);
}

} // namespace

ConfigurationDelta makeDelta(const Configuration &from, std::uint64_t fromVersion,
                             const Configuration &to, std::uint64_t toVersion)
{
    const Configuration sortedFrom = canonical(from);
    const Configuration sortedTo = canonical(to);
    ConfigurationDelta delta;
    delta.m_fromVersion = fromVersion;
    delta.m_toVersion = toVersion;
    delta.m_hash = ObjectHashes(sortedTo).combinedHash();
    visitChanges(delta, [&](ObjectKind, auto &put, std::vector<std::string> &removed) {
        using Object = typename std::remove_reference_t<decltype(put)>::value_type;
        compareSorted(objectsOf<Object>(sortedFrom), objectsOf<Object>(sortedTo), put, removed);
    });
    return delta;
}

json::object toJson(const ConfigurationDelta &delta)
{
    json::object put;
    json::object removed;
    visitChanges(delta,
                 [&](ObjectKind kind, const auto &objects, const std::vector<std::string> &names) {
                     json::array section;
                     for (const auto &object : objects)
                         section.push_back(toJson(object));
                     if (!section.empty())
                         put.emplace(sectionName(kind), std::move(section));
                     if (!names.empty())
                         removed.emplace(sectionName(kind),
                                         json::array(names.begin(), names.end()));
                 });
    return {{"fromVersion", delta.m_fromVersion},
            {"toVersion", delta.m_toVersion},
            {"hash", toHex(delta.m_hash)},
            {"put", std::move(put)},
            {"removed", std::move(removed)}};
}

ConfigurationDelta parseDelta(const json::value &value, const SourceLocation &location)
{
    Findings findings;
    ConfigurationDelta delta;
    ObjectReader reader(value, location, findings);
    reader.readInteger("fromVersion", delta.m_fromVersion);
    reader.readInteger("toVersion", delta.m_toVersion);
    std::string hash;
    reader.readString("hash", hash);
    const std::optional<Digest> digest = digestFromHex(hash);
    if (digest)
        delta.m_hash = *digest;
    else if (!hash.empty())
        reader.report("hash", "not a hash", "use 64 lower-case hex digits");
    const auto readPut = [&delta](ObjectReader &section) {
        visitChanges(delta, [&](ObjectKind kind, auto &put, std::vector<std::string> &) {
            section.readObjects(
                    sectionName(kind),
                    [&put](ObjectReader &object) { readFields(object, put.emplace_back()); },
                    Presence::Optional);
        });
    };
    const auto readRemoved = [&delta](ObjectReader &section) {
        visitChanges(delta, [&](ObjectKind kind, auto &, std::vector<std::string> &removed) {
            section.readStrings(sectionName(kind), removed, Presence::Optional);
        });
    };
    reader.readObject("put", readPut);
    reader.readObject("removed", readRemoved);
    reader.finish();
    if (!findings.empty())
        throw FindingsError(std::move(findings));
    return delta;
}

} // namespace chervilmount::model
