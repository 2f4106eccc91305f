#include "command/output/table.h"

#include "model/json/text.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilmount::command {

namespace {

namespace json = boost::json;

using Row = std::vector<std::string>;
using Rows = std::vector<Row>;

constexpr std::size_t ColumnGap = 2;

std::string printable(std::string_view text)
{
    std::string result(text);
    for (char &character : result) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7F)
            character = '?';
    }
    return result;
}

std::string cellText(const json::value &value)
{
    if (value.is_null())
        return "-";
    if (value.is_string())
        return printable(std::string_view(value.get_string()));
    const json::array *array = value.if_array();
    const bool isScalars = array != nullptr
            && std::none_of(array->begin(), array->end(), [](const json::value &element) {
                               return element.is_object() || element.is_array();
                           });
    if (!isScalars)
        return printable(model::toText(value));
    std::string text;
    for (const json::value &element : *array)
        text += (text.empty() ? "" : ",") + cellText(element);
    return text.empty() ? "-" : text;
}

/** @returns the number of code points, as an approximation of the width on a terminal. */
std::size_t widthOf(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xC0) != 0x80;
    }));
}

std::string alignColumns(const Rows &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], widthOf(row[column]));
    }
    std::string text;
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            text += row[column];
            if (column + 1 < row.size())
                text += std::string(widths[column] - widthOf(row[column]) + ColumnGap, ' ');
        }
        text += '\n';
    }
    return text;
}

bool isTable(const json::value &value)
{
    const json::array *array = value.if_array();
    return array != nullptr && !array->empty()
            && std::all_of(array->begin(), array->end(),
                           [](const json::value &element) { return element.is_object(); });
}

std::string tableText(const json::array &objects)
{
    Row header;
    for (const json::value &object : objects) {
        for (const json::key_value_pair &field : object.get_object()) {
            if (std::find(header.begin(), header.end(), field.key()) == header.end())
                header.emplace_back(field.key());
        }
    }
    Rows rows{header};
    for (const json::value &object : objects) {
        Row row;
        for (const std::string &field : header) {
            const json::value *value = object.get_object().if_contains(field);
            row.push_back(value == nullptr ? "-" : cellText(*value));
        }
        rows.push_back(std::move(row));
    }
    for (std::string &name : rows.front())
        name = printable(name);
    return alignColumns(rows);
}

/** Splits an object into lines for its scalar fields and named tables for its arrays of objects. */
class ObjectText
{
public:
    void add(const std::string &prefix, const json::object &object)
    {
        for (const json::key_value_pair &field : object) {
            const std::string name = prefix + printable(field.key());
            if (field.value().is_object())
                add(name + ".", field.value().get_object());
            else if (isTable(field.value()))
                m_tables += "\n" + name + ":\n" + tableText(field.value().get_array());
            else
                m_lines.push_back({name, cellText(field.value())});
        }
    }

    std::string text() const
    {
        const std::string lines = alignColumns(m_lines);
        return lines.empty() && !m_tables.empty() ? m_tables.substr(1) : lines + m_tables;
    }

private:
    Rows m_lines;
    std::string m_tables;
};

std::string fieldText(const json::value &field, std::string_view name)
{
    const json::object *object = field.if_object();
    const json::value *value = object == nullptr ? nullptr : object->if_contains(name);
    if (value == nullptr)
        return "-";
    const std::string text = cellText(*value);
    return text.empty() ? "\"\"" : text;
}

} // namespace

std::string toTable(const json::value &value)
{
    if (isTable(value))
        return tableText(value.get_array());
    if (!value.is_object())
        return cellText(value) + "\n";
    ObjectText text;
    text.add("", value.get_object());
    return text.text();
}

std::string differenceText(const json::array &differences)
{
    std::string text;
    for (const json::value &difference : differences) {
        text += fieldText(difference, "change") + " " + fieldText(difference, "kind") + " "
                + fieldText(difference, "name") + "\n";
        const json::object *object = difference.if_object();
        const json::value *fields = object == nullptr ? nullptr : object->if_contains("fields");
        if (fields == nullptr || !fields->is_array())
            continue;
        for (const json::value &field : fields->get_array())
            text += "    " + fieldText(field, "field") + ": " + fieldText(field, "old") + " -> "
                    + fieldText(field, "new") + "\n";
    }
    return text;
}

} // namespace chervilmount::command
