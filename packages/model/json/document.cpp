#include "model/json/document.h"

#include "model/json/text.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

constexpr std::size_t MaximumExcerptBytes = 160;

/** Reports duplicate fields of an object; the parsed document only keeps the last of them. */
class DuplicateFieldHandler
{
public:
    // boost::json::basic_parser prescribes the names of the handler's constants and functions.
    // NOLINTBEGIN(readability-identifier-naming)
    constexpr static std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    constexpr static std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    constexpr static std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
    constexpr static std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

    // NOLINTEND(readability-identifier-naming)

    DuplicateFieldHandler(const std::string &source, Findings &findings)
        : m_source(source)
        , m_findings(findings)
    {
    }

    // NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_object_begin(json::error_code &)
    {
        beginValue();
        m_levels.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, json::error_code &) { return endLevel(); }
    bool on_array_begin(json::error_code &)
    {
        beginValue();
        m_levels.emplace_back().m_isArray = true;
        return true;
    }
    bool on_array_end(std::size_t, json::error_code &) { return endLevel(); }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        m_key.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        m_key.append(part.data(), part.size());
        Level &level = m_levels.back();
        level.m_field = std::exchange(m_key, {});
        if (!level.m_fields.insert(level.m_field).second)
            m_findings.push_back(
                    {m_source, pointer(), "", "the field occurs twice", "keep one of the two"});
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code &) { return beginValue(); }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code &) { return beginValue(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { return beginValue(); }
    bool on_double(double, json::string_view, json::error_code &) { return beginValue(); }
    bool on_bool(bool, json::error_code &) { return beginValue(); }
    bool on_null(json::error_code &) { return beginValue(); }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    struct Level
    {
        bool m_isArray = false;
        /** One more than the index of the element being read. */
        std::size_t m_elements = 0;
        std::string m_field;
        std::set<std::string, std::less<>> m_fields;
    };

    bool beginValue()
    {
        if (!m_levels.empty() && m_levels.back().m_isArray)
            ++m_levels.back().m_elements;
        return true;
    }

    bool endLevel()
    {
        m_levels.pop_back();
        return true;
    }

    std::string pointer() const
    {
        std::string result;
        for (const Level &level : m_levels)
            result = childPointer(
                    result, level.m_isArray ? std::to_string(level.m_elements - 1) : level.m_field);
        return result;
    }

    const std::string &m_source;
    Findings &m_findings;
    std::vector<Level> m_levels;
    std::string m_key;
};

std::string describePosition(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const std::ptrdiff_t line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n');
    const std::size_t column =
            before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

std::optional<json::value> parseDocument(const SourceText &text, Findings &findings)
{
    json::error_code error;
    json::stream_parser parser;
    const std::size_t consumed = parser.write_some(text.m_text, error);
    const std::string_view rest = std::string_view(text.m_text).substr(consumed);
    if (!error && rest.find_first_not_of(" \t\r\n") != std::string_view::npos)
        error = json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (error) {
        findings.push_back({text.m_source, "", "",
                            "the text is not JSON: " + error.message() + " at "
                                    + describePosition(text.m_text, consumed),
                            "correct the syntax"});
        return std::nullopt;
    }
    json::basic_parser<DuplicateFieldHandler> duplicates({}, text.m_source, findings);
    duplicates.write_some(false, text.m_text.data(), text.m_text.size(), error);
    return parser.release();
}

std::string childPointer(std::string_view pointer, std::string_view child)
{
    std::string result(pointer);
    result += '/';
    for (const char character : child) {
        if (character == '~')
            result += "~0";
        else if (character == '/')
            result += "~1";
        else
            result += character;
    }
    return result;
}

std::string excerpt(const json::value &value)
{
    std::string text = toText(value);
    if (text.size() <= MaximumExcerptBytes)
        return text;
    std::size_t end = MaximumExcerptBytes;
    // Truncating within a UTF-8 sequence would make the report invalid UTF-8.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
        --end;
    text.resize(end);
    return text + "...";
}

} // namespace chervilmount::model
