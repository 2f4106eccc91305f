#include "model/version/configurationdiff.h"

#include "model/parsing/configurationparser.h"
#include "model/parsing/objectfields.h"

#include <boost/json/object.hpp>

#include <array>
#include <functional>
#include <map>
#include <utility>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

using ObjectsByName = std::map<std::string, json::object, std::less<>>;

std::array<ObjectsByName, ObjectKindCount> objectsByName(const Configuration &configuration)
{
    std::array<ObjectsByName, ObjectKindCount> result;
    const Configuration sorted = canonical(configuration);
    visitKinds(sorted, [&result](ObjectKind kind, const auto &objects) {
        for (const auto &object : objects)
            result.at(static_cast<std::size_t>(kind)).emplace(object.m_name, toJson(object));
    });
    return result;
}

std::vector<FieldDifference> compareFields(const json::object &from, const json::object &to)
{
    const json::object &names = from.empty() ? to : from;
    std::vector<FieldDifference> fields;
    for (const json::key_value_pair &name : names) {
        const json::value *before = from.if_contains(name.key());
        const json::value *after = to.if_contains(name.key());
        if (name.key() == "name" || (before != nullptr && after != nullptr && *before == *after))
            continue;
        fields.push_back({std::string(name.key()), before != nullptr ? *before : json::value(),
                          after != nullptr ? *after : json::value()});
    }
    return fields;
}

void compareKind(ObjectKind kind, const ObjectsByName &from, const ObjectsByName &to,
                 std::vector<ObjectDifference> &differences)
{
    ObjectsByName all = from;
    all.insert(to.begin(), to.end());
    for (const auto &[name, object] : all) {
        const auto before = from.find(name);
        const auto after = to.find(name);
        if (before == from.end())
            differences.push_back(
                    {kind, name, ObjectChange::Added, compareFields({}, after->second)});
        else if (after == to.end())
            differences.push_back(
                    {kind, name, ObjectChange::Removed, compareFields(before->second, {})});
        else if (before->second != after->second)
            differences.push_back({kind, name, ObjectChange::Changed,
                                   compareFields(before->second, after->second)});
    }
}

} // namespace

std::vector<ObjectDifference> diff(const Configuration &from, const Configuration &to)
{
    const std::array<ObjectsByName, ObjectKindCount> before = objectsByName(from);
    const std::array<ObjectsByName, ObjectKindCount> after = objectsByName(to);
    std::vector<ObjectDifference> differences;
    for (std::size_t kind = 0; kind < ObjectKindCount; ++kind)
        compareKind(static_cast<ObjectKind>(kind), before.at(kind), after.at(kind), differences);
    return differences;
}

json::array toJson(const std::vector<ObjectDifference> &differences)
{
    json::array result;
    for (const ObjectDifference &difference : differences) {
        json::array fields;
        for (const FieldDifference &field : difference.m_fields)
            fields.push_back(json::object{
                    {"field", field.m_field}, {"old", field.m_old}, {"new", field.m_new}});
        result.push_back(json::object{{"kind", kindName(difference.m_kind)},
                                      {"name", difference.m_name},
                                      {"change", changeName(difference.m_change)},
                                      {"fields", std::move(fields)}});
    }
    return result;
}

std::string_view changeName(ObjectChange change)
{
    switch (change) {
    case ObjectChange::Added:
        return "added";
    case ObjectChange::Removed:
        return "removed";
    case ObjectChange::Changed:
        break;
    }
    return "changed";
}

} // namespace chervilmount::model
