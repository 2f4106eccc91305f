#include "model/parsing/configurationparser.h"

#include "model/findings/findingserror.h"
#include "model/json/objectreader.h"
#include "model/json/text.h"
#include "model/parsing/objectfields.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

void sortParts(Service &service)
{
    std::sort(service.m_calls.begin(), service.m_calls.end());
}

void sortParts(Route &route)
{
    std::sort(route.m_methods.begin(), route.m_methods.end());
}

void sortParts(Organisation &organisation)
{
    std::stable_sort(organisation.m_shares.begin(), organisation.m_shares.end(),
                     [](const BaseShare &left, const BaseShare &right) {
                         return left.m_failureDomain < right.m_failureDomain;
                     });
}

template<typename Object>
void sortParts(Object &)
{
}

void append(LocatedConfiguration &target, const json::value &value, const SourceLocation &location,
            Findings &findings)
{
    ObjectReader reader(value, location, findings);
    visitKinds(target.m_configuration, [&target, &reader](ObjectKind kind, auto &objects) {
        reader.readObjects(
                sectionName(kind),
                [&target, &objects, kind](ObjectReader &object) {
                    readFields(object, objects.emplace_back());
                    target.m_locations.of(kind).push_back(object.location());
                },
                Presence::Optional);
    });
    reader.finish();
}

} // namespace

LocatedConfiguration readConfiguration(const std::vector<SourceText> &texts, Findings &findings)
{
    LocatedConfiguration result;
    for (const SourceText &text : texts) {
        const std::optional<json::value> value = parseDocument(text, findings);
        if (value)
            append(result, *value, {text.m_source, ""}, findings);
    }
    return result;
}

LocatedConfiguration readConfiguration(const json::value &value, const SourceLocation &location,
                                       Findings &findings)
{
    LocatedConfiguration result;
    append(result, value, location, findings);
    return result;
}

Configuration parseConfiguration(const std::vector<SourceText> &texts)
{
    Findings findings;
    LocatedConfiguration result = readConfiguration(texts, findings);
    if (!findings.empty())
        throw FindingsError(std::move(findings));
    return std::move(result.m_configuration);
}

json::object toJson(const Configuration &configuration)
{
    json::object result;
    visitKinds(configuration, [&result](ObjectKind kind, const auto &objects) {
        json::array section;
        for (const auto &object : objects)
            section.push_back(toJson(object));
        result.emplace(sectionName(kind), std::move(section));
    });
    return result;
}

Configuration canonical(Configuration configuration)
{
    visitKinds(configuration, [](ObjectKind, auto &objects) {
        for (auto &object : objects)
            sortParts(object);
        std::stable_sort(objects.begin(), objects.end(), [](const auto &left, const auto &right) {
            return left.m_name < right.m_name;
        });
    });
    return configuration;
}

std::string canonicalText(const Configuration &configuration)
{
    return toText(toJson(canonical(configuration)));
}

} // namespace chervilmount::model
