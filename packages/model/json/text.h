#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace chervilmount::model {

/** Formatting of a JSON text. */
enum class Layout {
    /** No white space; this form is hashed. */
    Compact,
    /** Indented by two spaces, one field to a line. */
    Indented
};

/**
 * Serialises a value. Numbers are written in the shortest decimal form, for example 0.25, while
 * Boost.JSON's own serialiser writes 2.5E-1.
 *
 * @returns the JSON text, without a line break at the end.
 */
std::string toText(const boost::json::value &value, Layout layout = Layout::Compact);

} // namespace chervilmount::model
