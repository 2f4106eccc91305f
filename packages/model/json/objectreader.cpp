#include "model/json/objectreader.h"

#include "model/json/text.h"

#include <cmath>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

std::string joinWords(const std::set<std::string, std::less<>> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

} // namespace

ObjectReader::ObjectReader(const json::value &value, SourceLocation location, Findings &findings)
    : m_object(value.if_object())
    , m_location(std::move(location))
    , m_findings(findings)
{
    if (m_object == nullptr)
        m_findings.push_back({m_location.m_source, m_location.m_pointer, excerpt(value),
                              "not an object", "use a JSON object"});
}

bool ObjectReader::has(std::string_view field) const
{
    return m_object != nullptr && m_object->contains(field);
}

void ObjectReader::readString(std::string_view field, std::string &target, Presence presence)
{
    const json::value *value = find(field, presence);
    if (value == nullptr)
        return;
    if (!value->is_string())
        return report(field, "not a string", "use a string");
    target = std::string_view(value->get_string());
}

void ObjectReader::readBoolean(std::string_view field, bool &target, Presence presence)
{
    const json::value *value = find(field, presence);
    if (value == nullptr)
        return;
    if (!value->is_bool())
        return report(field, "not a Boolean value", "use true or false");
    target = value->get_bool();
}

void ObjectReader::readNumber(std::string_view field, double &target, Presence presence,
                              NumberRange<double> range)
{
    const json::value *value = find(field, presence);
    if (value == nullptr)
        return;
    if (!value->is_number())
        return report(field, "not a number", "use a number");
    const double number = value->to_number<double>();
    if (!std::isfinite(number) || number < range.m_minimum || number > range.m_maximum)
        return report(field, "out of range",
                      "use " + toText(json::value(range.m_minimum)) + " to "
                              + toText(json::value(range.m_maximum)));
    target = number;
}

void ObjectReader::readStrings(std::string_view field, std::vector<std::string> &target,
                               Presence presence)
{
    const json::value *value = find(field, presence);
    if (value == nullptr)
        return;
    const json::array *array = value->if_array();
    if (array == nullptr)
        return report(field, "not an array", "use an array of strings");
    std::vector<std::string> strings;
    const SourceLocation location = locationOf(field);
    for (std::size_t index = 0; index < array->size(); ++index) {
        const json::value &element = (*array)[index];
        if (element.is_string())
            strings.emplace_back(std::string_view(element.get_string()));
        else
            m_findings.push_back({location.m_source,
                                  childPointer(location.m_pointer, std::to_string(index)),
                                  excerpt(element), "not a string", "use a string"});
    }
    target = std::move(strings);
}

void ObjectReader::report(std::string_view field, std::string problem, std::string remedy)
{
    const SourceLocation location = locationOf(field);
    std::string value;
    if (has(field))
        value = excerpt(m_object->at(field));
    m_findings.push_back({location.m_source, location.m_pointer, std::move(value),
                          std::move(problem), std::move(remedy)});
}

void ObjectReader::finish()
{
    if (m_object == nullptr)
        return;
    for (const json::key_value_pair &field : *m_object) {
        if (!m_known.contains(std::string_view(field.key())))
            report(field.key(), "unknown field", "remove it or use one of: " + joinWords(m_known));
    }
}

const json::value *ObjectReader::find(std::string_view field, Presence presence)
{
    m_known.emplace(field);
    if (m_object == nullptr)
        return nullptr;
    const json::value *value = m_object->if_contains(field);
    if (value == nullptr && presence == Presence::Required)
        report(field, "missing", "add the field");
    return value;
}

SourceLocation ObjectReader::locationOf(std::string_view field) const
{
    return {m_location.m_source, childPointer(m_location.m_pointer, field)};
}

} // namespace chervilmount::model
