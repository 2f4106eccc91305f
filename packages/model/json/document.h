#pragma once

#include "model/findings/finding.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilmount::model {

/** A JSON text together with the name of the file or other source it came from. */
struct SourceText
{
    std::string m_source;
    std::string m_text;
};

/**
 * Parses a JSON text. Syntax errors and fields that occur twice in one object become findings.
 *
 * @param text the text and its source.
 * @param findings receives the findings.
 * @returns the document, or nothing if the text is not JSON. The last value of a duplicate field is
 * kept.
 */
std::optional<boost::json::value> parseDocument(const SourceText &text, Findings &findings);

/** @returns the pointer to a field of the object or an element of the array at @p pointer. */
std::string childPointer(std::string_view pointer, std::string_view child);

/** @returns the value as JSON text, truncated to fit into one line of a report. */
std::string excerpt(const boost::json::value &value);

} // namespace chervilmount::model
