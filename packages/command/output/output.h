#pragma once

#include "command/commands/run.h"
#include "command/output/table.h"

#include <boost/json/value.hpp>

namespace chervilmount::command {

/** Writes a value as indented JSON to the output. */
void printJson(const boost::json::value &value, const Streams &streams);

/** Writes a value as JSON or as a table. */
void print(const boost::json::value &value, bool isJson, const Streams &streams);

} // namespace chervilmount::command
