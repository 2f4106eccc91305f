#include "command/output/output.h"

#include "model/json/text.h"

#include <ostream>

namespace chervilmount::command {

void printJson(const boost::json::value &value, const Streams &streams)
{
    streams.m_out << model::toText(value, model::Layout::Indented) << "\n";
}

void print(const boost::json::value &value, bool isJson, const Streams &streams)
{
    if (isJson)
        printJson(value, streams);
    else
        streams.m_out << toTable(value);
}

} // namespace chervilmount::command
