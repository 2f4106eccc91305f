#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace chervilmount::command {

/**
 * Renders any JSON value as human-readable text: the scalar fields of an object as lines of name
 * and value, an array of objects as a table with a column for each field, nested objects with
 * dotted names. Control characters are replaced, since the text may come from callers and could
 * manipulate the terminal.
 *
 * @returns the text, ending with a line break.
 */
std::string toTable(const boost::json::value &value);

/** @returns one line for each object and field that differs. @see model::diff */
std::string differenceText(const boost::json::array &differences);

} // namespace chervilmount::command
